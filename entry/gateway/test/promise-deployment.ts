/** A gateway whose endpoints play given cases, with what both ends have seen of each request, and the rules that hold between them. */
import { Pool } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { GatewayDeployment } from './gateway-deployment.ts'
import { RawEndpoint, type RawRequest } from './raw-endpoint.ts'
import {
  bodyOf, eventsFrom, LATE_MS, playExtra, provesNotRun, responseOf, SERVE, toPlayable, type EndpointCase, type ResponseSubject
} from './endpoint-cases.ts'

export const PATHS = ['look-up', 'order', 'draft', 'scan'] as const
export type PathKind = typeof PATHS[number]

/** Statuses that promise that the request has not run and never will. */
export const PROMISES: readonly number[] = [408, 421, 429, 503]
const MAX_ATTEMPTS = 2
const CALLER_CONNECTIONS = 16
const ID_PATTERN = /request-[\w-]+/g

/** A request that an endpoint has read. */
interface Arrival {
  endpointCase: EndpointCase
  subject: ResponseSubject
  isProof: boolean
  /** Whether nothing but the responses to its requests was written on the connection so far. */
  isClean: boolean
}

/** What the caller of a request has received. */
export interface Reply {
  id: string
  kind: PathKind
  /** 0 if the connection was closed without a response. */
  status: number
  headers: Record<string, string | string[] | undefined>
  text: string
  isComplete: boolean
}

export class PromiseDeployment {
  readonly endpoints = ['i-1', 'i-2', 'i-3'].map((name) => new RawEndpoint(name, (request) => this.handle(name, request)))
  readonly deployment = new GatewayDeployment([], undefined, { retryRatio: 1, retryWindowMs: 1000, retrySlack: 50_000 })
  readonly arrivals = new Map<string, Arrival[]>()
  /** The number of runs of each request. */
  readonly runs = new Map<string, number>()
  private readonly replies: Reply[] = []
  private readonly plans = new Map<string, readonly EndpointCase[]>()
  private callers!: Pool
  private pendingCount = 0
  private idCount = 0

  async start (): Promise<void> {
    await this.deployment.start()
    for (const endpoint of this.endpoints) {
      await endpoint.start()
      await this.deployment.register(endpoint)
    }
    await this.deployment.configure(1)
    await this.deployment.awaitRetryBudget()
    this.callers = new Pool(this.deployment.url(''), { connections: CALLER_CONNECTIONS })
  }

  async stop (): Promise<void> {
    await this.callers.destroy()
    await this.deployment.stop()
    for (const endpoint of this.endpoints) endpoint.stop()
  }

  /** Sends a request whose arrivals play the cases in turn, and are served behind them. */
  async send (kind: PathKind, plan: readonly EndpointCase[], waitMs?: number): Promise<Reply> {
    const id = `request-${++this.idCount}`
    this.plans.set(id, plan.map(toPlayable))
    const reply: Reply = { id, kind, status: 0, headers: {}, text: '', isComplete: false }
    const headers: Record<string, string> = { authorization: 'Bearer secret', 'x-gullwall-request-id': id }
    if (waitMs !== undefined) headers['x-gullwall-wait-ms'] = String(waitMs)
    try {
      const response = await this.callers.request({ method: 'POST', path: `/${kind}/${id}`, headers, body: 'x' })
      Object.assign(reply, { status: response.statusCode, headers: response.headers })
      for await (const chunk of response.body as AsyncIterable<Buffer>) reply.text += chunk.toString()
      reply.isComplete = true
    } catch {
      // The connection was closed; what came before stands in the reply.
    }
    this.replies.push(reply)
    return reply
  }

  /** Waits until everything has happened that endpoints do behind their responses. */
  async settle (): Promise<void> {
    await until('the late runs', () => this.pendingCount === 0)
  }

  /** Closes all connections to the endpoints, and has those that count as ended go on as new incarnations. */
  async renew (): Promise<void> {
    await this.settle()
    const { view } = this.deployment.gateway.services
    await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.closeConnections()))
    for (const endpoint of this.endpoints) {
      if (view.acceptsRequests(endpoint.incarnation)) continue
      endpoint.beginNewLife()
      await this.deployment.register(endpoint)
    }
  }

  /** Returns what breaks a rule in all replies so far. */
  findAllViolations (): string[] {
    return this.replies.flatMap((reply) => this.findViolations(reply))
  }

  /** Returns what breaks a rule in a reply, seen from both ends. */
  findViolations (reply: Reply): string[] {
    const { id, kind, status, text, headers } = reply
    const arrivals = this.arrivals.get(id) ?? []
    const runCount = this.runs.get(id) ?? 0
    const mayHaveRunCount = arrivals.filter(({ isProof }) => !isProof).length
    const isOnce = kind === 'order' || kind === 'scan'
    const isPromise = PROMISES.includes(status)
    const broken: string[] = []
    if (isPromise && runCount > 0) broken.push('REFUSED: it ran')
    if (isPromise && mayHaveRunCount > 0) broken.push('REFUSED: an endpoint did not say that it had not run it')
    if (isPromise && (headers['x-endpoint'] !== undefined || headers['retry-after'] === undefined || !text.includes('"ran":"no"'))) {
      broken.push('a promise that is not the gateway\'s own')
    }
    if (Math.max(runCount, mayHaveRunCount) > (isOnce ? 1 : MAX_ATTEMPTS)) broken.push(`${isOnce ? 'TWICE' : 'BUDGET'}: ${runCount} runs, ${mayHaveRunCount} possible`)
    if (status >= 200 && status < 300 && !isBodyOfRun(reply, arrivals)) broken.push('MIXED: a success that is not the response of its run')
    const named = [...text.matchAll(ID_PATTERN)].map(([match]) => match)
    if (named.some((name) => name !== id) || (headers['x-gullwall-request-id'] ?? id) !== id) broken.push('MIXED: the response to another request')
    broken.push(...findDeniedService(reply, arrivals))
    return broken.map((what) => `${what}; ${describe(reply, arrivals)}`)
  }

  private handle (name: string, request: RawRequest): void {
    const { headers, connection, path } = request
    const id = headers['x-gullwall-request-id'] ?? ''
    const known = this.arrivals.get(id) ?? []
    const endpointCase = this.plans.get(id)?.[known.length] ?? SERVE
    const isStream = /^\/(draft|scan)\//.test(path)
    const subject = { id, endpoint: name, isStream, after: Number(headers['last-event-id'] ?? 0) }
    const { beforeNextRequest } = connection
    connection.beforeNextRequest = undefined
    const isAnswered = beforeNextRequest?.() ?? true
    const isProof = isAnswered && provesNotRun(endpointCase)
    this.arrivals.set(id, [...known, { endpointCase, subject, isProof, isClean: !connection.isSpoiled }])
    // A request that gets no response may run as well.
    if (endpointCase.run === 'before' || (!isAnswered && !isProof)) this.recordRun(id)
    if (isAnswered) this.respond(request, endpointCase, subject)
    if (isAnswered && endpointCase.run === 'after') this.later(() => this.recordRun(id))
  }

  private respond ({ connection }: RawRequest, endpointCase: EndpointCase, subject: ResponseSubject): void {
    const { extra, extraAt } = endpointCase
    connection.write(responseOf(endpointCase, subject))
    if (extra === 'nothing') return
    const play = () => playExtra(extra, subject.id, connection)
    if (extraAt === 'at once') play()
    else if (extraAt === 'at rest') this.later(play)
    else {
      connection.beforeNextRequest = () => {
        play()
        return extra !== 'close' && extra !== 'reset'
      }
    }
  }

  private recordRun (id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
  }

  private later (act: () => void): void {
    this.pendingCount += 1
    setTimeout(() => {
      this.pendingCount -= 1
      act()
    }, LATE_MS)
  }
}

/** Whether a success has the body of a run of its request, in full if it ended as complete. */
function isBodyOfRun ({ status, text, isComplete, id, kind }: Reply, arrivals: readonly Arrival[]): boolean {
  const sources = arrivals.filter(({ endpointCase, isProof }) => !isProof && endpointCase.ids === 'own' && endpointCase.status === status)
  const isStream = kind === 'draft' || kind === 'scan'
  const bodies = isStream && status === 200 ? [eventsFrom(0, id)] : sources.map(({ subject }) => bodyOf(status, subject))
  return sources.length > 0 && bodies.some((body) => isComplete ? body === text : body.startsWith(text))
}

/** Returns what was denied to a caller although all that the endpoints wrote to its request was in order. */
function findDeniedService ({ status, headers }: Reply, arrivals: readonly Arrival[]): string[] {
  const last = arrivals.at(-1)
  if (last === undefined || !arrivals.every(({ isClean }) => isClean) || !arrivals.slice(0, -1).every(({ isProof }) => isProof)) return []
  const isServed = last.endpointCase.status === 200 && last.endpointCase.framing === 'length' && last.endpointCase.ids === 'own'
  if (isServed && status !== 200) return ['it was served, and its caller has no success']
  if (last.isProof && (status !== 503 || !(Number(headers['retry-after']) > 0))) return ['no endpoint ran it, and its caller is not told so']
  return []
}

function describe ({ id, kind, status, text, isComplete }: Reply, arrivals: readonly Arrival[]): string {
  const cases = arrivals.map(({ endpointCase, subject, isClean }) => {
    const { status: answered, ids, mark, run, framing, extra, extraAt } = endpointCase
    return `${subject.endpoint}${isClean ? '' : ' (spoiled)'}: ${answered} ids ${ids}, mark ${mark}, run ${run}, framing ${framing}, ${extra} ${extraAt}`
  })
  return `/${kind}/ ${id} got ${status}${isComplete ? '' : ', cut'} ${JSON.stringify(text.slice(0, 120))}; arrivals: ${cases.join(' | ')}`
}
