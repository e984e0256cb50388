/** Takes the answer of one attempt and passes it on as far as it is whole. */
import { type AttemptVerdict, type Candidate, type InFlightRequest } from '@gullwall/routing.balancer'
import { type BackoffPermit } from '@gullwall/routing.backoff'
import { type AnswerHead } from './dialect.ts'
import { EventSplitter } from './event-splitter.ts'
import { type ExchangeOutcome, type ExchangeHead, type ExchangeListener } from './exchange.ts'
import { type RequestForwarder } from './request-forwarder.ts'

/** How one attempt ended. */
export type AttemptOutcome =
  /** The caller has its answer. */
  | { type: 'answered' }
  /** It certainly did not run. */
  | { type: 'not-run', reason: string, verdict: AttemptVerdict }
  /** Not even the connection was made. */
  | { type: 'unsent', reason: string, isRefused?: boolean }
  /** It was no longer to be sent there once a connection was free. */
  | { type: 'withheld', reason: string }
  /** It ran, and the endpoint answered with a failure. */
  | { type: 'failed', head: ExchangeHead, body: Buffer }
  /** It may have run; `isClosed`: the endpoint, or the way to it, ended the connection. */
  | { type: 'broken', reason: string, isClosed: boolean }
  | { type: 'cancelled' }

const MAX_WHOLE_BYTES = 32 * 1024 * 1024
const SUCCESS = 200
const REDIRECT = 300
const SERVER_ERROR = 500
const MISDIRECTED = 421

export class AttemptResponseReceiver implements ExchangeListener {
  /** All that has arrived of the answer. */
  receivedBytes = 0
  private head: ExchangeHead | undefined
  private readonly cutter = new EventSplitter()
  private readonly chunks: Buffer[] = []
  private bytes = 0
  private isNotRun = false

  constructor (
    private readonly forwarding: RequestForwarder,
    private readonly work: InFlightRequest,
    private readonly candidate: Candidate,
    private readonly permit: BackoffPermit
  ) {}

  onInterim (head: ExchangeHead): void {
    this.readHead(head)
  }

  onHead (head: ExchangeHead): boolean {
    const { call } = this.forwarding.context
    const { requestId, isFromService, isNotRun } = this.readHead(head)
    this.head = head
    this.isNotRun = isNotRun || head.status === MISDIRECTED
    if (this.isNotRun) return true
    this.permit.recordResponse()
    return requestId === call.requestId && isFromService && head.headers['content-encoding'] === undefined
  }

  /** Reads a head, whatever it is the head of: what the endpoint says of itself holds also in an answer to something else. */
  private readHead ({ status, headers, sentAt }: ExchangeHead): AnswerHead {
    const { services } = this.forwarding.context
    const { endpoint } = this.candidate
    endpoint.lastReceivedAt = performance.now()
    const head = services.dialect.readAnswer(status, headers)
    services.notices.apply(endpoint.description, { status, sentAt, notices: head.notices })
    return head
  }

  onData (chunk: Buffer): void {
    this.receivedBytes += chunk.length
    this.candidate.endpoint.lastReceivedAt = performance.now()
    if (this.isStream) {
      this.passEvents(chunk)
      return
    }
    this.bytes += chunk.length
    if (this.bytes <= MAX_WHOLE_BYTES) this.chunks.push(chunk)
  }

  /** Gives the end of the attempt, and ends the caller's answer where it is whole. */
  finish (end: ExchangeOutcome): AttemptOutcome {
    const { head } = this
    if (end.type === 'cancelled') return { type: 'cancelled' }
    if (end.type === 'unsent' || end.type === 'withheld') return end
    if (this.isNotRun && head !== undefined) {
      return { type: 'not-run', reason: `the endpoint answered ${head.status}, not run`, verdict: head.status === MISDIRECTED ? 'ended' : 'shed' }
    }
    if (end.type === 'broken' || head === undefined) return end.type === 'broken' ? end : { type: 'broken', reason: 'no head', isClosed: false }
    if (head.status >= SERVER_ERROR) return { type: 'failed', head, body: Buffer.concat(this.chunks) }
    return this.complete(head)
  }

  private complete (head: ExchangeHead): AttemptOutcome {
    const { answer } = this.forwarding.context
    if (this.isStream) {
      this.begin(head)
      this.forwarding.recordAnswered()
      answer.endStream(this.cutter.remainder())
    } else {
      if (this.bytes > MAX_WHOLE_BYTES) return { type: 'broken', reason: 'the answer is too large', isClosed: false }
      this.forwarding.recordAnswered()
      answer.sendComplete(head.status, head.headers, Buffer.concat(this.chunks))
    }
    return { type: 'answered' }
  }

  private get isStream (): boolean {
    const status = this.head?.status ?? 0
    return this.forwarding.context.call.route.kind === 'stream' && status >= SUCCESS && status < REDIRECT
  }

  private passEvents (chunk: Buffer): void {
    const events = this.cutter.push(chunk)
    if (events === undefined || this.head === undefined) return
    const { answer } = this.forwarding.context
    this.candidate.endpoint.recordEvents(this.work, performance.now())
    this.begin(this.head)
    this.forwarding.recordEvents(events.lastId)
    if (!answer.writeEvents(events.bytes)) this.forwarding.pauseUntilDrained()
  }

  /** The first run of a stream gives the head; later runs go on under it. */
  private begin (head: ExchangeHead): void {
    const { answer } = this.forwarding.context
    if (!answer.hasBegun) answer.beginStream(head.status, head.headers)
  }
}

/** What the end of an attempt tells of its endpoint. */
export function verdictOf (end: AttemptOutcome): AttemptVerdict {
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
export function hasRun (end: AttemptOutcome): boolean {
  return end.type === 'answered' || end.type === 'failed' || end.type === 'broken'
}
