/** The routes that callers use: chat completions, the list of models, and plain services. */
import { type Context, type Next } from 'koa'
import { Either, Left, Right } from 'purify-ts'
import { type IdSequence } from '@gullwall/core.ids'
import { errorRecord, messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { type RecordMap } from '@gullwall/config.records'
import { type ControlClient } from '@gullwall/control.client'
import { selectEndToEndHeaders } from '@gullwall/endpoint.http'
import { chatRequestSchema, CHAT_PATH, isResumable, type ChatRequest } from '@gullwall/endpoint.openai'
import { CallerResponse, RequestRun, type CallerError, type RequestToRun, type RunResult, type RunServices } from '@gullwall/entry.answers'
import { computeFingerprint, findSharedParts } from '@gullwall/routing.quarantine'
import { type OrganisationLimits } from '@gullwall/routing.limits'
import { withoutOwnHeaders } from '@gullwall/transport.attempt'
import { abortResponse, Koa, Router } from '@gullwall/transport.http-server'
import { type EndpointKind } from '@gullwall/core.types'
import { readBody, type BodyLimits } from './body.ts'
import { identify, refusal, type Caller } from './caller-dialect.ts'
import { type EntryMetrics } from './metrics.ts'

export interface ApiOptions {
  logger: Logger
  records: RecordMap
  limits: OrganisationLimits
  metrics: EntryMetrics
  control: Pick<ControlClient, 'claim' | 'settle'>
  run: RunServices
  requestIds: IdSequence
  body: BodyLimits
  /** Why the process can't serve yet, or undefined. */
  notReady: () => string | undefined
}

/** How long a claim is held, in ms. */
const CLAIM_HOLD_MS = 60 * 60_000
const SERVICE_PREFIX = '/services/'
const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const NOT_READY_RETRY_MS = 1000
/** Headers of the caller that are not the endpoint's concern. */
const KEPT_BACK = new Set(['authorization', 'host', 'gullwall-class', 'gullwall-repeatable', 'content-length', 'expect'])

export function createApi (options: ApiOptions): Koa {
  const api = new Api(options)
  const router = new Router()
  router.post(CHAT_PATH, (context) => api.chat(context))
  router.get('/v1/models', (context) => api.models(context))
  router.all('/services/:service{/*path}', (context) => api.service(context, String(context.params['service'])))
  const app = new Koa()
  app.silent = true
  app.use(async (context, next) => await api.guard(context, next))
  app.use(async (context, next) => {
    await next()
    if (context.status === 404 && context.respond !== false && context.body === undefined) {
      api.refuse(context, refusal(404, 'no_such_path', `${context.method} ${context.path} is not served here`))
    }
  })
  app.use(router.routes())
  return app
}

/** What the two kinds of call differ in. */
interface Wanted {
  kind: EndpointKind
  serves: string
  path: string
  body: Buffer
  stream: boolean
  resumable: boolean
  /** The ids of the parts of the prompt that may crash engines. */
  parts: string[]
}

class Api {
  constructor (private readonly options: ApiOptions) {}

  /** A failure of the entry itself is logged, and told to the caller as one that may have run. */
  async guard (context: Context, next: Next): Promise<void> {
    context.state['caller'] = new CallerResponse(context.res, this.options.requestIds.next())
    try {
      await next()
    } catch (error) {
      this.options.logger.error({ channel: 'process', event: 'failed', why: `${context.method} ${context.path}`, error: errorRecord(error) })
      if (context.res.headersSent) abortResponse(context.res)
      else this.refuse(context, { status: 500, code: 'internal_error', message: messageOf(error), ran: 'unknown', step: 'entry' })
      context.respond = false
    }
  }

  async chat (context: Context): Promise<void> {
    const caller = this.accept(context, true)
    const body = await this.body(context, caller)
    const wanted = body.chain((bytes) => readChat(bytes))
    await this.serve(context, caller, wanted.chain((value) => this.known(value)))
  }

  async service (context: Context, service: string): Promise<void> {
    const caller = this.accept(context, REPEATABLE_METHODS.has(context.method))
    const body = await this.body(context, caller)
    const path = context.url.slice(SERVICE_PREFIX.length + service.length) || '/'
    const wanted = body.map((bytes): Wanted => ({
      kind: 'service', serves: service, path: path.startsWith('/') ? path : `/${path}`, body: bytes, stream: false, resumable: false, parts: []
    }))
    await this.serve(context, caller, wanted.chain((value) => this.known(value)))
  }

  models (context: Context): void {
    this.accept(context, true).caseOf({
      Left: (error) => this.refuse(context, error),
      Right: () => {
        context.body = { object: 'list', data: this.modelNames().map((id) => ({ id, object: 'model', created: 0, owned_by: 'gullwall' })) }
      }
    })
  }

  /** Reports an error to the caller, with the status that the evidence about its request allows. */
  refuse (context: Context, error: CallerError): void {
    context.respond = false
    callerOf(context).report(error)
  }

  private accept (context: Context, repeatableByNature: boolean): Either<CallerError, Caller> {
    const notReady = this.options.notReady()
    if (notReady !== undefined) return Left(refusal(503, 'not_ready', notReady, NOT_READY_RETRY_MS))
    return identify(context.headers, { records: this.options.records, repeatableByNature })
  }

  private body (context: Context, caller: Either<CallerError, Caller>): Promise<Either<CallerError, Buffer>> {
    // What a stranger sends is not read.
    if (caller.isLeft()) {
      context.req.resume()
      return Promise.resolve(Right(Buffer.alloc(0)))
    }
    return readBody(context.req, this.options.body)
  }

  private known (wanted: Wanted): Either<CallerError, Wanted> {
    const served = this.options.run.dispatcher.directory.listServed().has(wanted.serves)
    if (served || (wanted.kind === 'engine' && this.options.records.has(`model/${wanted.serves}`))) return Right(wanted)
    const what = wanted.kind === 'engine' ? 'model' : 'service'
    return Left(refusal(404, `${what}_not_found`, `the ${what} ${wanted.serves} does not exist`))
  }

  private async serve (context: Context, caller: Either<CallerError, Caller>, wanted: Either<CallerError, Wanted>): Promise<void> {
    const both = caller.chain((known) => wanted.map((value) => ({ caller: known, wanted: value })))
    await both.caseOf({
      Left: async (error) => this.refuse(context, error),
      Right: async (accepted) => await this.runWithinLimits(context, accepted.caller, accepted.wanted)
    })
  }

  private async runWithinLimits (context: Context, caller: Caller, wanted: Wanted): Promise<void> {
    const { limits } = this.options
    const exceeded = limits.admit(caller.organisationName, caller.organisation)
    if (exceeded !== undefined) {
      this.refuse(context, refusal(429, `${exceeded.limit}_limit`, `over the ${exceeded.limit} limit of ${caller.organisationName}`, exceeded.retryAfterMs))
      return
    }
    try {
      await this.runOnce(context, caller, wanted)
    } finally {
      limits.release(caller.organisationName)
    }
  }

  /** Runs a request; one that must run at most once is claimed first. */
  private async runOnce (context: Context, caller: Caller, wanted: Wanted): Promise<void> {
    const request = this.requestOf(context, caller, wanted)
    const needsClaim = caller.idempotencyKey !== undefined && !request.repeatable
    if (!needsClaim) {
      await this.run(context, request)
      return
    }
    const key = `${caller.organisationName}/${caller.idempotencyKey}`
    const refused = await this.claim(key, request.id)
    if (refused !== undefined) {
      this.refuse(context, refused)
      return
    }
    const result = await this.run(context, request)
    await this.options.control.settle(key, request.id, result.ran)
  }

  private async claim (key: string, requestId: string): Promise<CallerError | undefined> {
    try {
      const answer = await this.options.control.claim(key, requestId, CLAIM_HOLD_MS)
      if (answer.granted) return undefined
      const ran = answer.outcome === 'yes' || answer.outcome === 'partly' ? answer.outcome : 'unknown'
      const message = `request ${answer.holder} holds this key; it ran: ${answer.outcome}`
      return { status: 409, code: 'already_claimed', message, ran, step: 'claim' }
    } catch (error) {
      // The claim may have been accepted all the same, and would keep the key from the caller's next request.
      void this.options.control.settle(key, requestId, 'no')
      return { status: 503, code: 'no_quorum', message: messageOf(error), step: 'claim', retryAfterMs: NOT_READY_RETRY_MS }
    }
  }

  private async run (context: Context, request: RequestToRun): Promise<RunResult> {
    context.respond = false
    const run = new RequestRun(request, callerOf(context), this.options.run)
    const result = await run.run()
    this.options.metrics.note(request.class, result)
    return result
  }

  private requestOf (context: Context, caller: Caller, wanted: Wanted): RequestToRun {
    const { organisation } = caller
    const selectors = [caller.class.selector, this.namedSelector(caller), organisation.selector].filter((text) => text !== '')
    return {
      id: callerOf(context).requestId,
      group: [caller.className, wanted.kind, wanted.serves, ...selectors].join('|'),
      class: caller.className,
      tier: caller.class.tier,
      organisation: caller.organisationName,
      weight: organisation.weight,
      arrivedAt: performance.now(),
      kind: wanted.kind,
      serves: wanted.serves,
      floor: caller.class.floor,
      firstTokenMs: caller.class.firstTokenMs,
      betweenTokensMs: caller.class.betweenTokensMs,
      maxWaitMs: caller.class.maxWaitMs,
      late: caller.class.late,
      selectors,
      avoidedEndpoints: new Set(),
      fingerprint: computeFingerprint({
        organisation: caller.organisationName, method: context.method, path: wanted.path, body: wanted.body
      }),
      parts: wanted.parts,
      repeatable: isRepeatable(caller, wanted),
      stream: wanted.stream,
      resumable: wanted.resumable,
      call: {
        method: context.method,
        path: wanted.path,
        headers: endpointHeaders(context, wanted),
        body: wanted.body.length === 0 ? undefined : wanted.body
      }
    }
  }

  private namedSelector (caller: Caller): string {
    const name = caller.class.selectorName
    return name === undefined ? '' : this.options.records.get('selector', name)?.match ?? ''
  }

  private modelNames (): string[] {
    const { records, run } = this.options
    const engines = [...run.dispatcher.directory.all()].filter((view) => view.description.kind === 'engine')
    return [...new Set([...records.names('model'), ...engines.map((view) => view.description.serves)])].sort()
  }
}

function callerOf (context: Context): CallerResponse {
  return context.state['caller'] as CallerResponse
}

/** A stream that can't go on elsewhere may run once only, unless its caller has said otherwise. */
function isRepeatable (caller: Caller, wanted: Wanted): boolean {
  return caller.repeatable && (caller.isDeclaredRepeatable || !wanted.stream || wanted.resumable)
}

function readChat (bytes: Buffer): Either<CallerError, Wanted> {
  return parseJson(bytes).chain((value) => {
    const parsed = chatRequestSchema.safeParse(value)
    if (!parsed.success) {
      const issue = parsed.error.issues[0]
      return Left(refusal(400, 'invalid_request', `${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'invalid'}`))
    }
    return Right(wantedChat(parsed.data, bytes))
  })
}

function wantedChat (chat: ChatRequest, bytes: Buffer): Wanted {
  const { model, messages } = chat
  return {
    kind: 'engine',
    serves: model,
    path: CHAT_PATH,
    body: bytes,
    stream: chat.stream === true,
    resumable: isResumable(chat),
    parts: findSharedParts(messages.map((message) => JSON.stringify(message)))
  }
}

function parseJson (bytes: Buffer): Either<CallerError, unknown> {
  return Either.encase((): unknown => JSON.parse(bytes.toString('utf8')))
    .mapLeft((error) => refusal(400, 'invalid_json', `the body is not JSON: ${error.message}`))
}

function endpointHeaders (context: Context, wanted: Wanted): Record<string, string | string[]> {
  const headers = withoutOwnHeaders(selectEndToEndHeaders(context.headers))
  const kept = Object.fromEntries(Object.entries(headers).filter(([name]) => !KEPT_BACK.has(name)))
  if (wanted.body.length > 0) kept['content-length'] = String(wanted.body.length)
  return kept
}
