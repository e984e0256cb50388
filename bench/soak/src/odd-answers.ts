/** Answers of an engine that does not keep to the protocol, and the rejections that it gives beside them. */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { answerBody, eventsBehind, subjectOf } from './answers.ts'
import { drawPlace, isBehindAnswer, isRejection, sendWithoutEnd, type EndlessPlace } from './endless-bytes.ts'
import { type Behaviour } from './engine.ts'
import { isStreamPath } from './engine-requests.ts'
import { type Journal, type Run } from './journal.ts'
import { type Random } from './random.ts'
import { drawRefusalAfterRun, drawRejection, refuse } from './refusals.ts'

const REJECTED_TWICE_SHARE = 0.3
/** A connection counts as idle so long after its last answer, in ms. */
const IDLE_MS = 200

interface OddAnswersOptions {
  name: string
  journal: Journal
  random: Random
  sourceAt: (port: number) => string
}

/** A request that an engine has received, and its process. */
export interface Received {
  id: string
  request: IncomingMessage
  response: ServerResponse
  incarnation: string
  build: string
}

export class OddAnswers {
  /** Rejections that are due a second time, by connection. */
  private readonly rejections = new WeakMap<Socket, string>()
  /** Connections on which a request is under way. */
  private readonly busy = new WeakSet<Socket>()
  /** Connections on which bytes without end are sent. */
  private readonly flooded = new WeakSet<Socket>()
  /** Where the answers of requests that are run get bytes without end. */
  private readonly places = new WeakMap<ServerResponse, EndlessPlace>()

  constructor (private readonly options: OddAnswersOptions) {}

  noteRequest ({ socket }: IncomingMessage, response: ServerResponse): void {
    this.busy.add(socket)
    response.once('close', () => this.busy.delete(socket))
  }

  /** Whether nothing that is sent on a connection can be an answer any more. */
  isFlooded (socket: Socket): boolean {
    return this.flooded.has(socket)
  }

  /** Writes the rejection of an earlier request on this connection again, before the response of this one. */
  repeatRejection ({ socket }: IncomingMessage): void {
    const rejection = this.rejections.get(socket)
    this.rejections.delete(socket)
    if (rejection !== undefined) socket.write(rejection)
  }

  /** Turns some requests away without running them; whether it has. */
  rejects (behaviour: Behaviour, received: Received): boolean {
    const { id, request: { socket, url = '' }, response } = received
    const { random, journal } = this.options
    if (behaviour === 'rejecting twice' && random.chance(REJECTED_TWICE_SHARE)) {
      this.rejections.set(socket, `HTTP/1.1 503 Rejected\r\nx-gullwall-ran: no\r\nx-gullwall-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`)
      refuse(response, id, { status: 503, isMarked: true, retryAfter: undefined })
      return true
    }
    if (behaviour === 'refusing after running') {
      const rejection = drawRejection(random)
      if (rejection !== undefined) refuse(response, id, rejection)
      return rejection !== undefined
    }
    if (behaviour !== 'sending without end') return false
    const place = drawPlace(random, journal, isStreamPath(url))
    if (place === undefined) return false
    if (isRejection(place)) this.flood(received, place)
    else this.places.set(response, place)
    return isRejection(place)
  }

  /** Gives how a request that was run is answered, where that is not the proper answer. */
  answerOf (behaviour: Behaviour, run: Run, received: Received): (() => void) | undefined {
    const place = this.places.get(received.response)
    if (place !== undefined) return () => this.answerWithoutEnd(run, received, place)
    const refusal = behaviour === 'refusing after running' ? drawRefusalAfterRun(this.options.random) : undefined
    if (refusal === undefined) return undefined
    run.refusedWith = refusal.status
    return () => refuse(received.response, run.id, refusal)
  }

  /** Sends bytes without end in the place of the answer, or behind it. */
  private answerWithoutEnd (run: Run, received: Received, place: EndlessPlace): void {
    const { request: { socket }, response, build } = received
    if (!isBehindAnswer(place)) {
      run.isBrokenOff = true
      this.flood(received, place)
      return
    }
    const isStream = isStreamPath(run.path)
    const body = isStream ? eventsBehind(subjectOf(run.path), run.lastEventId, build) : answerBody(run.id, run.serial)
    const headers = { 'x-gullwall-request-id': run.id, 'content-length': body.length, ...isStream ? { 'content-type': 'text/event-stream' } : {} }
    response.writeHead(200, headers).end(body, () => {
      run.wroteAllAt = this.options.journal.now
      if (place === 'behind an answer') this.flood(received, place)
      else setTimeout(() => { if (!this.busy.has(socket) && !socket.destroyed) this.flood(received, place) }, IDLE_MS)
    })
  }

  private flood ({ id, request: { socket }, incarnation }: Received, place: EndlessPlace): void {
    const { journal, name: engine, sourceAt } = this.options
    this.flooded.add(socket)
    sendWithoutEnd(socket, journal, { id, place, engine, incarnation, from: sourceAt(socket.remotePort ?? 0) })
  }
}
