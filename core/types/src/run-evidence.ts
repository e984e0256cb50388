/**
 * Whether a request may have run, from evidence alone. Only this module issues the proof without which no caller is told that its
 * request has not run.
 */
import { type Ran } from './index.ts'

/** What proves that a request has not run: no byte of it was sent, or there is proof for each of its attempts. */
export type NotRunEvidence = 'unsent' | 'marked'

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

/** One sending of a request. It may have run from the first byte on, until there is proof that it has not. */
export class SentAttempt {
  private known: Ran = 'unknown'

  get ran (): Ran {
    return this.known
  }

  get mayHaveRun (): boolean {
    return this.known !== 'no'
  }

  /** Records the proof that the attempt did not run: it was never written, or the one that received it stated that it ran nothing. */
  recordNotRun (): void {
    this.known = 'no'
  }

  /** Records how far an attempt came that has run, or may have. */
  recordRun (ran: Exclude<Ran, 'no'>): void {
    this.known = ran
  }
}

/** How far a request came, from the least to the most. */
const ORDER: readonly Ran[] = ['no', 'unknown', 'partly', 'yes']

/** The evidence about one request of a caller. */
export class RunEvidence {
  private readonly attempts: SentAttempt[] = []
  private proof: IssuedProof | undefined

  /** Whether the request may have run. */
  get mayHaveRun (): boolean {
    return this.attempts.some((attempt) => attempt.mayHaveRun)
  }

  /** How far the request came in any of its attempts. */
  get ran (): Ran {
    return this.attempts.reduce<Ran>((most, { ran }) => ORDER.indexOf(ran) > ORDER.indexOf(most) ? ran : most, 'no')
  }

  /** Whether the request may be sent: not once its caller may have been told that it never runs. */
  get canBeSent (): boolean {
    return this.proof === undefined
  }

  /**
   * Records that the first byte of an attempt is about to be written.
   * @throws Error if the proof was issued that the request never runs
   */
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
