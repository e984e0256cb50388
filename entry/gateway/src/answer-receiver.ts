/** Takes the answer of one attempt and passes it on as far as it is whole. */
import { type AttemptVerdict, type Candidate, type Work } from '@gullwall/routing.balancer'
import { type Permit } from '@gullwall/routing.backoff'
import { type AnswerHead } from './dialect.ts'
import { EventCutter } from './events.ts'
import { type ExchangeEnd, type ExchangeHead, type ExchangeListener } from './exchange.ts'
import { type Forwarding } from './forward.ts'

/** How one attempt ended. */
export type AttemptEnd =
  /** The caller has its answer. */
  | { type: 'answered' }
  /** It certainly did not run. */
  | { type: 'not-run', why: string, verdict: AttemptVerdict }
  /** Not even the connection was made. */
  | { type: 'unsent', why: string, isRefused?: boolean }
  /** It was no longer to be sent there once a connection was free. */
  | { type: 'withheld', why: string }
  /** It ran, and the endpoint answered with a failure. */
  | { type: 'failed', head: ExchangeHead, body: Buffer }
  /** It may have run; `isClosed`: the endpoint, or the way to it, ended the connection. */
  | { type: 'broken', why: string, isClosed: boolean }
  | { type: 'cancelled' }

const MAX_WHOLE_BYTES = 32 * 1024 * 1024
const SUCCESS = 200
const REDIRECT = 300
const SERVER_ERROR = 500
const MISDIRECTED = 421

export class AnswerReceiver implements ExchangeListener {
  /** All that has arrived of the answer. */
  receivedBytes = 0
  private head: ExchangeHead | undefined
  private readonly cutter = new EventCutter()
  private readonly chunks: Buffer[] = []
  private bytes = 0
  private isNotRun = false

  constructor (
    private readonly forwarding: Forwarding,
    private readonly work: Work,
    private readonly candidate: Candidate,
    private readonly permit: Permit
  ) {}

  onInterim (head: ExchangeHead): void {
    this.readHead(head)
  }

  onHead (head: ExchangeHead): boolean {
    const { call } = this.forwarding.facts
    const { requestId, isSigned, isNotRun } = this.readHead(head)
    this.head = head
    this.isNotRun = isNotRun || head.status === MISDIRECTED
    if (this.isNotRun) return true
    this.permit.answered()
    return requestId === call.requestId && isSigned && head.headers['content-encoding'] === undefined
  }

  /** Reads a head, whatever it is the head of: what the endpoint says of itself holds also in an answer to something else. */
  private readHead ({ status, headers, sentAt }: ExchangeHead): AnswerHead {
    const { services } = this.forwarding.facts
    const { endpoint } = this.candidate
    endpoint.heardAt = performance.now()
    const head = services.dialect.readAnswer(status, headers)
    services.notices.take(endpoint.description, { status, sentAt, notices: head.notices })
    return head
  }

  onData (chunk: Buffer): void {
    this.receivedBytes += chunk.length
    this.candidate.endpoint.heardAt = performance.now()
    if (this.isStream) {
      this.passEvents(chunk)
      return
    }
    this.bytes += chunk.length
    if (this.bytes <= MAX_WHOLE_BYTES) this.chunks.push(chunk)
  }

  /** Gives the end of the attempt, and ends the caller's answer where it is whole. */
  endOf (end: ExchangeEnd): AttemptEnd {
    const { head } = this
    if (end.type === 'cancelled') return { type: 'cancelled' }
    if (end.type === 'unsent' || end.type === 'withheld') return end
    if (this.isNotRun && head !== undefined) {
      return { type: 'not-run', why: `the endpoint answered ${head.status}, not run`, verdict: head.status === MISDIRECTED ? 'ended' : 'shed' }
    }
    if (end.type === 'broken' || head === undefined) return end.type === 'broken' ? end : { type: 'broken', why: 'no head', isClosed: false }
    if (head.status >= SERVER_ERROR) return { type: 'failed', head, body: Buffer.concat(this.chunks) }
    return this.complete(head)
  }

  private complete (head: ExchangeHead): AttemptEnd {
    const { answer } = this.forwarding.facts
    if (this.isStream) {
      this.begin(head)
      this.forwarding.noteAnswered()
      answer.endStream(this.cutter.remainder())
    } else {
      if (this.bytes > MAX_WHOLE_BYTES) return { type: 'broken', why: 'the answer is too large', isClosed: false }
      this.forwarding.noteAnswered()
      answer.whole(head.status, head.headers, Buffer.concat(this.chunks))
    }
    return { type: 'answered' }
  }

  private get isStream (): boolean {
    const status = this.head?.status ?? 0
    return this.forwarding.facts.call.route.kind === 'stream' && status >= SUCCESS && status < REDIRECT
  }

  private passEvents (chunk: Buffer): void {
    const events = this.cutter.take(chunk)
    if (events === undefined || this.head === undefined) return
    const { answer } = this.forwarding.facts
    this.candidate.endpoint.noteEvents(this.work, performance.now())
    this.begin(this.head)
    this.forwarding.noteEvents(events.lastId)
    if (!answer.events(events.bytes)) this.forwarding.holdUntilDrained()
  }

  /** The first run of a stream gives the head; later runs go on under it. */
  private begin (head: ExchangeHead): void {
    const { answer } = this.forwarding.facts
    if (!answer.hasBegun) answer.beginStream(head.status, head.headers)
  }
}

/** What the end of an attempt tells of its endpoint. */
export function verdictOf (end: AttemptEnd): AttemptVerdict {
  switch (end.type) {
    case 'answered': return 'good'
    case 'not-run': return end.verdict
    case 'unsent': return 'unreachable'
    case 'failed':
    case 'broken': return 'failed'
    case 'withheld':
    case 'cancelled': return 'neutral'
  }
}

/** Whether the endpoint has begun to run the request, as far as its end tells. */
export function hasRun (end: AttemptEnd): boolean {
  return end.type === 'answered' || end.type === 'failed' || end.type === 'broken'
}
