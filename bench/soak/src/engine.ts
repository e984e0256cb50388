/** A stand-in engine: answers with what its caller can check, and notes what has reached it. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { answerBody, BUILDS, eventCount, eventOf, sentBody, subjectOf } from './answers.ts'
import { BESIDE_PART, CRASHING, CRASHING_PART } from './crashing-requests.ts'
import { headerOf, isStreamPath, smuggledIn } from './engine-requests.ts'
import { type Break, type Journal, type Life, type Run } from './journal.ts'
import { OddAnswers, type Received } from './odd-answers.ts'
import { type Random } from './random.ts'

export type Behaviour =
  | 'well' | 'silent' | 'slow'
  /** Ends some answers in the middle. */
  | 'cutting'
  /** Turns requests away without running them. */
  | 'refusing'
  /** Turns most requests away without running them. */
  | 'shedding'
  /** The same, and asks for rest. */
  | 'resting'
  /** Runs requests and fails. */
  | 'failing'
  /** Rejects some requests, and sends each rejection a second time when the next request comes on its connection. */
  | 'rejecting twice'
  /** Runs some requests and then refuses them, and rejects others without running them. */
  | 'refusing after running'
  /** Sends bytes without end for some requests, until its connection is closed. */
  | 'sending without end'

export interface EnginePlan {
  name: string
  service: string
  dataCentre: string
  /** The address that others know. */
  address: string
}

interface EngineOptions extends EnginePlan {
  journal: Journal
  random: Random
  /** Whether engines run several builds; earlier programs join the streams of all. */
  hasBuilds: boolean
  sourceAt: (port: number) => string
  /** Ends this engine's process, and brings it back. */
  crash: (engine: Engine) => void
}

const SLOTS = 8
const DATE_SHARE = 0.3
const SECOND_MS = 1000
const WORK_MS = { from: 10, to: 60 }
const EVENT_MS = 15
const SLOW_FACTOR = 10
const CUT_SHARE = 0.4
const SHED_SHARE = 0.7
const UNFRAMED_SHARE = 0.1
const UNFRAMED_STREAM_SHARE = 0.4
const SECOND_WHOLE_FRAME = 2

let serial = 0

export class Engine {
  behaviour: Behaviour = 'well'
  incarnation = ''
  /** The build of its software; each start may bring another one. */
  build = ''
  /** Whether its heartbeats reach nobody. */
  isUnheard = false
  sequence = 0
  coldUntil = 0
  /** Requests a second that its answers name; none where they name none. */
  perSecond: number | undefined
  target = ''
  private server: Server | undefined
  private running = new Set<ServerResponse>()
  /** Whether this process has asked anybody for rest. */
  private hasRested = false
  private starts = 0
  private readonly oddAnswers: OddAnswers
  private currentState: 'ready' | 'draining' | 'gone' = 'ready'
  private life: Life | undefined

  constructor (readonly options: EngineOptions) {
    this.oddAnswers = new OddAnswers(options)
  }

  get state (): 'ready' | 'draining' | 'gone' {
    return this.currentState
  }

  set state (state) {
    this.currentState = state
    if (state !== 'ready' && this.life !== undefined) this.life.to = Math.min(this.life.to, this.options.journal.now)
  }

  /** Starts anew under a new incarnation, of a given build or any. */
  async start (coldMs = 0, build?: string): Promise<void> {
    const { name, service, journal, random, hasBuilds } = this.options
    this.starts += 1
    this.incarnation = `${name}-${this.starts}`
    this.build = build ?? (hasBuilds ? random.pick(BUILDS) : BUILDS[0])
    this.state = 'ready'
    this.life = { engine: name, service, build: this.build, from: journal.now, to: Infinity }
    journal.lives.push(this.life)
    this.behaviour = 'well'
    this.isUnheard = false
    this.hasRested = false
    this.perSecond = undefined
    this.sequence = 0
    this.running = new Set()
    this.coldUntil = journal.now + coldMs
    if (coldMs > 0) journal.coldSpells.push({ incarnation: this.incarnation, from: journal.now, to: this.coldUntil })
    const server = createServer({ keepAliveTimeout: 0 }, (request, response) => this.receive(request, response))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    this.server = server
    this.target = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /** Ends at once. */
  stop (): void {
    if (this.life !== undefined) this.life.to = Math.min(this.life.to, this.options.journal.now)
    this.server?.close()
    this.server?.closeAllConnections()
    this.server = undefined
  }

  private receive (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    this.oddAnswers.noteRequest(request, response)
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => { this.take(request, response, Buffer.concat(chunks).toString()) })
  }

  private take (request: IncomingMessage, response: ServerResponse, body: string): void {
    const id = headerOf(request, 'x-gullwall-request-id')
    const from = this.options.sourceAt(request.socket.remotePort ?? 0)
    this.options.journal.deliveries.push({ id, service: this.options.service, at: this.options.journal.now })
    if (this.oddAnswers.isFlooded(request.socket)) return
    if (headerOf(request, 'x-gullwall-incarnation') === this.incarnation) this.noteArrival(id, from, response)
    if (headerOf(request, 'x-gullwall-incarnation') !== this.incarnation) {
      response.writeHead(421, { 'x-gullwall-ran': 'no', 'x-gullwall-request-id': id }).end()
      return
    }
    if (this.behaviour === 'resting') {
      this.askForRest(id, from, response)
      return
    }
    this.oddAnswers.repeatRejection(request)
    const received: Received = { id, request, response, incarnation: this.incarnation, build: this.build }
    if (this.oddAnswers.rejects(this.behaviour, received)) return
    if (this.isRejecting) {
      response.writeHead(503, { 'x-gullwall-ran': 'no', 'x-gullwall-request-id': id }).end()
      return
    }
    if (body.startsWith(BESIDE_PART)) {
      this.after(WORK_MS.from, response, () => response.writeHead(200, { 'x-gullwall-request-id': id }).end(body))
      return
    }
    if (body.startsWith(CRASHING_PART)) {
      this.crashUnderPart(request, body, response, id)
      return
    }
    if (body.startsWith(CRASHING)) {
      this.crashUnder(request, body, response)
      return
    }
    const run = this.runOf(request, id, body)
    this.options.journal.noteRun(run)
    const { running } = this
    running.add(response)
    response.once('close', () => running.delete(response))
    if (this.behaviour === 'silent') return
    const oddAnswer = this.oddAnswers.answerOf(this.behaviour, run, received)
    if (oddAnswer !== undefined) {
      this.after(WORK_MS.from, response, oddAnswer)
      return
    }
    const isStream = isStreamPath(run.path)
    const isCut = this.behaviour === 'cutting' && this.options.random.chance(CUT_SHARE)
    if (isStream) this.stream(run, response, isCut)
    else this.answer(run, response, isCut)
  }

  private get isRejecting (): boolean {
    const { random } = this.options
    return this.behaviour === 'refusing' || (this.behaviour === 'shedding' && random.chance(SHED_SHARE)) || this.running.size >= SLOTS
  }

  private noteArrival (id: string, from: string, response: ServerResponse): void {
    const { journal } = this.options
    if (this.hasRested || this.perSecond !== undefined) journal.arrivals.push({ id, incarnation: this.incarnation, from, at: journal.now })
    if (this.perSecond !== undefined) response.setHeader('x-gullwall-limit', String(this.perSecond))
    if (this.state !== 'draining') return
    response.setHeader('x-gullwall-draining', '1')
    // The word is on its way from the first byte on, which any end of the answer has behind it.
    response.once('finish', () => journal.drainWords.push({ incarnation: this.incarnation, from, at: journal.now }))
  }

  /** Turns a request away and asks for rest: for whole seconds, fractions, or until a date. */
  private askForRest (id: string, from: string, response: ServerResponse): void {
    const { journal, random } = this.options
    const seconds = random.pick([0.7, 1, 2, 2.5, 4])
    const isDate = Number.isInteger(seconds) && random.chance(DATE_SHARE)
    const now = Date.now()
    const text = isDate ? new Date(Math.ceil(now / SECOND_MS) * SECOND_MS + seconds * SECOND_MS).toUTCString() : String(seconds)
    this.hasRested = true
    journal.rests.push({ incarnation: this.incarnation, from, at: journal.now, ms: seconds * SECOND_MS })
    response.writeHead(503, { 'x-gullwall-ran': 'no', 'x-gullwall-request-id': id, date: new Date(now).toUTCString(), 'retry-after': text }).end()
  }

  private crashUnder (request: IncomingMessage, body: string, response: ServerResponse): void {
    const { journal, name, sourceAt, crash } = this.options
    journal.crashes.push({ body, at: journal.now, engine: name, from: sourceAt(request.socket.remotePort ?? 0) })
    this.after(WORK_MS.from, response, () => crash(this))
  }

  /** Ends once it has begun to write. */
  private crashUnderPart (request: IncomingMessage, body: string, response: ServerResponse, id: string): void {
    const { journal, name, sourceAt, crash } = this.options
    const part = body.slice(CRASHING_PART.length).split(' ')[0] ?? ''
    journal.partCrashes.push({ body: part, at: journal.now, engine: name, from: sourceAt(request.socket.remotePort ?? 0) })
    this.after(WORK_MS.from, response, () => {
      response.writeHead(200, { 'x-gullwall-request-id': id })
      response.write('begun', () => crash(this))
    })
  }

  private runOf (request: IncomingMessage, id: string, body: string): Run {
    const { journal, name, dataCentre, service, sourceAt } = this.options
    serial += 1
    const path = request.url ?? ''
    return {
      id,
      serial,
      at: journal.now,
      engine: name,
      incarnation: this.incarnation,
      dataCentre,
      service,
      from: sourceAt(request.socket.remotePort ?? 0),
      path,
      isAsSent: body === sentBody(subjectOf(path)),
      urgency: Number(headerOf(request, 'x-gullwall-urgency')),
      organisation: headerOf(request, 'x-gullwall-organisation'),
      lastEventId: Number(headerOf(request, 'last-event-id')),
      smuggled: smuggledIn(request)
    }
  }

  private answer (run: Run, response: ServerResponse, isCut: boolean): void {
    const { random } = this.options
    const body = answerBody(run.id, run.serial)
    const headers: Record<string, string | number> = { 'x-gullwall-request-id': run.id }
    const isFramed = !random.chance(UNFRAMED_SHARE)
    if (isFramed) headers['content-length'] = body.length
    else unframe(response)
    this.after(random.between(WORK_MS.from, WORK_MS.to), response, () => {
      response.writeHead(this.behaviour === 'failing' ? 500 : 200, headers)
      if (isCut) {
        response.write(body.slice(0, body.length / SECOND_WHOLE_FRAME))
        this.breakOff(run, response, { isFramed })
        return
      }
      response.end(body, () => { run.wroteAllAt = this.options.journal.now })
    })
  }

  private stream (run: Run, response: ServerResponse, isCut: boolean): void {
    const { random } = this.options
    const subject = subjectOf(run.path)
    const total = eventCount(subject)
    const cutAfter = isCut ? Math.ceil(total / SECOND_WHOLE_FRAME) : Infinity
    const isFramed = !random.chance(UNFRAMED_STREAM_SHARE)
    if (!isFramed) unframe(response)
    const begin = (): void => {
      response.writeHead(this.behaviour === 'failing' ? 500 : 200, { 'x-gullwall-request-id': run.id, 'content-type': 'text/event-stream' })
    }
    const finish = (): void => { response.end(() => { run.wroteAllAt = this.options.journal.now }) }
    if (run.lastEventId >= total) {
      begin()
      finish()
      return
    }
    const next = (number: number): void => this.after(EVENT_MS, response, () => {
      if (number === run.lastEventId + 1) begin()
      if (number > cutAfter) {
        const event = eventOf(subject, number, this.build)
        const cut = Math.floor(random.between(0, event.length))
        if (cut > 0) response.write(event.slice(0, cut))
        this.breakOff(run, response, { isFramed, behindEvent: cut === 0 ? number - 1 : undefined })
        return
      }
      response.write(eventOf(subject, number, this.build))
      if (number < total) next(number + 1)
      else finish()
    })
    next(run.lastEventId + 1)
  }

  /** Half of the broken answers end with a reset, the others with a close. */
  private breakOff (run: Run, response: ServerResponse, how: Omit<Break, 'end'>): void {
    run.isBrokenOff = true
    setImmediate(() => {
      const end = this.options.random.chance(0.5) ? 'reset' : 'close'
      run.brokenBy = { ...how, end }
      if (end === 'reset') response.socket?.resetAndDestroy()
      else response.destroy()
    })
  }

  private after (ms: number, response: ServerResponse, then: () => void): void {
    const factor = this.behaviour === 'slow' ? SLOW_FACTOR : 1
    setTimeout(() => { if (!response.destroyed && this.behaviour !== 'silent') then() }, ms * factor)
  }
}

/** Has an answer end with its connection, without a length. */
function unframe (response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}
