/**
 * Whether a request may have run, from evidence alone. Only this module issues the proof without which no caller is told that its
 * request has not run.
 */
import { type ForwardRecord } from '@gullwall/core.logger'

/** What proves that a request has not run: no byte of it was sent, or each endpoint that received it marked its response as not run. */
export type NotRunEvidence = NonNullable<ForwardRecord['evidence']>

/** What the final head of an endpoint's response to this very request states. */
export interface ResponseStatement {
  status: number
  /** Whether the head bears the mark of a request that was not run. */
  isMarkedNotRun: boolean
}

/** The lowest status of a response that reports a failure. */
const MIN_FAILURE_STATUS = 400

class IssuedProof {
  readonly #issuer: RunEvidence

  constructor (issuer: RunEvidence, readonly evidence: NotRunEvidence) {
    this.#issuer = issuer
  }

  /** Whether the proof is about the request with this evidence. */
  isAbout (evidence: RunEvidence): boolean {
    return this.#issuer === evidence
  }
}

/** Proof that a request has not run and never will. Nothing of the request can be sent once it has been issued. */
export type NotRunProof = IssuedProof

/** One sending of a request. It may have run from the first byte on, until its endpoint proves otherwise. */
export class SentAttempt {
  private hasProof = false

  get mayHaveRun (): boolean {
    return !this.hasProof
  }

  /**
   * Takes the final head of the response as evidence. Only a failure that bears the mark proves that the request was not run: an
   * endpoint that ran it may respond with any status.
   */
  recordResponse ({ status, isMarkedNotRun }: ResponseStatement): void {
    this.hasProof = isMarkedNotRun && status >= MIN_FAILURE_STATUS
  }
}

/** The evidence about one request of a caller. */
export class RunEvidence {
  private readonly attempts: SentAttempt[] = []
  private proof: IssuedProof | undefined

  /** Whether an endpoint may have run the request. */
  get mayHaveRun (): boolean {
    return this.attempts.some((attempt) => attempt.mayHaveRun)
  }

  /** Whether the request may be sent: not once its caller may have been told that it never runs. */
  get canBeSent (): boolean {
    return this.proof === undefined
  }

  /** Records that the first byte of an attempt is about to be written. */
  recordSending (): SentAttempt {
    if (!this.canBeSent) throw new Error('the request is proven to never run')
    const attempt = new SentAttempt()
    this.attempts.push(attempt)
    return attempt
  }

  /** Returns the proof that the request has not run, and forbids to send it from now on; undefined if it may have run. */
  proveNotRun (): NotRunProof | undefined {
    if (this.mayHaveRun) return undefined
    this.proof ??= new IssuedProof(this, this.attempts.length === 0 ? 'unsent' : 'marked')
    return this.proof
  }
}
