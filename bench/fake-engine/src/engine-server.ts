/** One stand-in engine: the chat API, a load report with a lag, cache events and fenced orders. */
import { type ServerResponse } from 'node:http'
import { type Context, type Next } from 'koa'
import { answerToken, countTokens, readPrompt } from '@gullwall/bench.answers'
import { HttpServer, Koa, Router } from '@gullwall/transport.http-server'
import { Batch, type EngineSpeed, type Fault, type Stream } from './batch.ts'
import { type Ledger } from './ledger.ts'
import { PrefixCache } from './prefix-cache.ts'

export interface FakeEngineOptions {
  name: string
  model: string
  speed: EngineSpeed
  ledger: Ledger
  /** How old a load report is, in ms. */
  reportLagMs?: number
  /** Whether orders with an old fence are refused here. */
  checksFence?: boolean
}

/** A chat with a message that holds this text ends the process that begins to run it. */
export const CRASHING_TEXT = 'no engine survives this'
/** A process that has ended is back after so long, in ms. */
const BACK_AFTER_MS = 250

interface ChatBody {
  model: string
  messages: Array<{ role: string, content: string }>
  stream?: boolean
  priority?: number
  max_tokens?: number
  continue_final_message?: boolean
}

/** What a run needs to know of its request. */
interface Job {
  prompt: string
  from: number
  until: number
  priority: number
}

const DEFAULT_REPORT_LAG_MS = 1000
const CHARACTERS_PER_TOKEN = 4
const CACHED_PREFILL_SHARE = 0.1

export class FakeEngine {
  readonly batch: Batch
  /** Whether the load report says that all is well, whatever is. */
  lies = false
  /** With how much rest asked for requests are turned away, in s; they are taken where it is not set. */
  restS: number | undefined
  /** Whether all answers say that this engine drains. */
  isDraining = false
  /** What it names in each answer as the requests a second that it takes from all boxes together. */
  limitPerSecond: number | undefined
  /** When chats and reports were asked for, by the monotonic clock in ms. */
  readonly asked: Array<{ at: number, path: string }> = []
  cancelled = 0
  lastCancelAt = 0
  private http: HttpServer
  private isStopped = false
  private readonly cache: PrefixCache
  private readonly connections = new Set<ServerResponse>()
  private readonly reports: Array<{ at: number, inFlight: number }> = []
  private fence = { term: 0, sequence: 0 }
  private answers = 0

  constructor (readonly options: FakeEngineOptions) {
    this.batch = new Batch(options.speed)
    this.cache = new PrefixCache(options.speed.prefixCacheEntries)
    this.http = new HttpServer(this.createApp())
  }

  async start (address = '127.0.0.1:0'): Promise<string> {
    return await this.http.listen(address)
  }

  get address (): string {
    return this.http.address
  }

  /** Ends the process as far as others see, and starts it again at the same address. */
  async crashAndRestart (): Promise<void> {
    const { address, http } = this
    const closed = http.close()
    this.crash()
    await closed
    await new Promise((resolve) => setTimeout(resolve, BACK_AFTER_MS))
    if (this.isStopped) return
    this.http = new HttpServer(this.createApp())
    await this.http.listen(address)
  }

  async stop (): Promise<void> {
    this.isStopped = true
    this.crash()
    this.batch.stop()
    await this.http.close()
  }

  setFault (fault: Fault): void {
    this.batch.fault = fault
    this.batch.schedule()
  }

  /** Breaks every stream off. */
  crash (): void {
    for (const stream of this.batch.streams()) {
      stream.run.outcome = 'crashed'
      this.batch.remove(stream)
    }
    for (const response of this.connections) response.destroy()
  }

  private createApp (): Koa {
    const router = new Router()
    router.post('/v1/chat/completions', async (context) => await this.chat(context))
    router.get('/load', (context) => { context.body = { in_flight: this.reportedInFlight() } })
    router.get('/cache-events', (context) => { context.body = this.cache.eventsSince(Number(context.query['since'] ?? 0)) })
    router.post('/orders', async (context) => await this.order(context))
    const app = new Koa()
    app.silent = true
    app.use(async (context, next) => await this.turnAwayOr(context, next))
    app.use(router.routes())
    return app
  }

  /** Turns a request away while this engine wants none; says with any answer that it drains. */
  private async turnAwayOr (context: Context, next: Next): Promise<void> {
    this.asked.push({ at: performance.now(), path: context.path })
    if (this.isDraining) context.res.setHeader('x-gullwall-draining', '1')
    if (this.limitPerSecond !== undefined) context.res.setHeader('x-gullwall-limit', String(this.limitPerSecond))
    if (this.restS === undefined) {
      await next()
      return
    }
    context.status = 503
    context.set({ 'retry-after': String(this.restS), 'x-gullwall-ran': 'no', 'x-gullwall-attempt-id': context.get('x-gullwall-attempt-id') })
    context.body = { error: { message: 'no room', type: 'server_error', code: 'overloaded', param: null } }
  }

  private async chat (context: Context): Promise<void> {
    const body = await readJson(context) as ChatBody
    if (body.model !== this.options.model) {
      context.status = 404
      context.body = { error: { message: `no model ${body.model}`, type: 'invalid_request_error', code: 'model_not_found', param: null } }
      return
    }
    const job = jobOf(body)
    context.respond = false
    if (body.messages.some(({ content }) => content.includes(CRASHING_TEXT))) setImmediate(() => { void this.crashAndRestart() })
    if (body.stream === true) this.runStream(context.res, job)
    else this.runWhole(context.res, job)
  }

  private runStream (response: ServerResponse, job: Job): void {
    const id = this.nextId()
    let place = job.from
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    this.run(response, job, () => {
      const isFirst = place === job.from
      const content = answerToken(job.prompt, place)
      place += 1
      const isLast = place >= job.until
      response.write(event(id, this.options.model, { ...(isFirst ? { role: 'assistant' } : {}), content }, isLast ? 'stop' : null))
      if (isLast) response.end('data: [DONE]\n\n')
      return isLast
    })
  }

  private runWhole (response: ServerResponse, job: Job): void {
    let text = ''
    let place = job.from
    this.run(response, job, () => {
      text += answerToken(job.prompt, place)
      place += 1
      if (place < job.until) return false
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify(completion(this.nextId(), this.options.model, text, job.until - job.from)))
      return true
    })
  }

  private run (response: ServerResponse, job: Job, emitToken: () => boolean): void {
    const prefixHit = this.cache.touch(job.prompt)
    const promptTokens = job.prompt.length / CHARACTERS_PER_TOKEN + job.from
    const prefillMs = promptTokens * this.options.speed.prefillMsPerToken * (prefixHit ? CACHED_PREFILL_SHARE : 1)
    const run = this.options.ledger.begin({
      id: readPrompt(job.prompt).id, endpoint: this.options.name, prefillMs, resumedFrom: job.from, prefixHit
    })
    const stream: Stream = {
      priority: job.priority,
      prefillMs,
      run,
      emit: () => {
        const isLast = emitToken()
        if (isLast) run.outcome = 'whole'
        return isLast
      }
    }
    this.connections.add(response)
    response.once('close', () => {
      this.connections.delete(response)
      if (run.outcome !== 'running') return
      run.outcome = 'cancelled'
      this.cancelled += 1
      this.lastCancelAt = performance.now()
      this.batch.remove(stream)
    })
    this.batch.add(stream)
    this.noteLoad()
  }

  private async order (context: Context): Promise<void> {
    const { term, sequence } = await readJson(context) as { term: number, sequence: number }
    const isOld = term < this.fence.term || (term === this.fence.term && sequence <= this.fence.sequence)
    if (isOld && this.options.checksFence === true) {
      context.status = 409
      context.body = { refused: 'old fence', fence: this.fence }
      return
    }
    this.fence = { term, sequence }
    context.body = { done: true }
  }

  private noteLoad (): void {
    this.reports.push({ at: performance.now(), inFlight: this.batch.inFlight })
    const MAX_REPORTS = 2000
    if (this.reports.length > MAX_REPORTS) this.reports.splice(0, MAX_REPORTS / 2)
  }

  private reportedInFlight (): number {
    if (this.lies) return 0
    this.noteLoad()
    const lag = this.options.reportLagMs ?? DEFAULT_REPORT_LAG_MS
    const asOf = performance.now() - lag
    return this.reports.findLast((report) => report.at <= asOf)?.inFlight ?? 0
  }

  private nextId (): string {
    this.answers += 1
    return `chatcmpl-${this.options.name}-${this.answers}`
  }
}

function jobOf (body: ChatBody): Job {
  const resumes = body.continue_final_message === true
  const last = body.messages.at(-1)
  const soFar = resumes ? last?.content ?? '' : ''
  const asked = resumes ? body.messages.at(-2) : last
  const prompt = asked?.content ?? ''
  const from = countTokens(soFar)
  const wanted = readPrompt(prompt).tokens
  const until = Math.min(wanted, body.max_tokens === undefined ? Infinity : from + body.max_tokens)
  return { prompt, from, until, priority: body.priority ?? 0 }
}

function event (id: string, model: string, delta: object, finishReason: string | null): string {
  const chunk = { id, object: 'chat.completion.chunk', created: 0, model, choices: [{ index: 0, delta, finish_reason: finishReason }] }
  return `data: ${JSON.stringify(chunk)}\n\n`
}

function completion (id: string, model: string, content: string, tokens: number): object {
  return {
    id,
    object: 'chat.completion',
    created: 0,
    model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
    usage: { prompt_tokens: 0, completion_tokens: tokens, total_tokens: tokens }
  }
}

async function readJson (context: Context): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of context.req as AsyncIterable<Buffer>) chunks.push(chunk)
  return JSON.parse(Buffer.concat(chunks).toString('utf8'))
}
