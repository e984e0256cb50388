/** The callers' interface of an entry in front of one sidecar, whose responses a test writes. */
import { EventEmitter } from 'node:events'
import { createServer, type IncomingHttpHeaders, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { Right, Left, type Either } from 'purify-ts'
import { Pool } from 'undici'
import { checkRecordsFile, newOrganisationKey, RecordMap } from '@gullwall/config.records'
import { type ControlClient } from '@gullwall/control.client'
import { IdSequence } from '@gullwall/core.ids'
import { createLogger } from '@gullwall/core.logger'
import { type Ran } from '@gullwall/core.types'
import { createPool } from '@gullwall/endpoint.http'
import { type RunServices } from '@gullwall/entry.answers'
import { createApi, type ApiOptions } from '@gullwall/entry.server'
import { type Grant, type Refusal } from '@gullwall/routing.dispatcher'
import { OrganisationLimits } from '@gullwall/routing.limits'
import { writeRefusal, type AttemptRefusal } from '@gullwall/transport.attempt'
import { HttpServer } from '@gullwall/transport.http-server'

/** What becomes of one attempt at the sidecar. */
export type Attempt = (response: ServerResponse) => void

export interface Answer {
  status: number
  headers: IncomingHttpHeaders
  error: { code: string, ran: Ran } | undefined
  text: string
}

const counter = newOrganisationKey('counter')
const RECORDS = `
[class.interactive]
tier = 0
firstTokenMs = 400
maxWaitMs = 5000
[organisation.counter]
keys = ["${counter.hash}"]
classes = ["interactive"]
`
const MODEL = 'parts'

export const refuseWith = (reason: AttemptRefusal, ran: Ran): Attempt => (response) => {
  response.writeHead(409, writeRefusal({ reason, ran })).end('why')
}
export const respondWith = (status: number, headers = {}, body = 'body'): Attempt => (response) => { response.writeHead(status, headers).end(body) }
export const breakOff: Attempt = (response) => { response.destroy() }
export const streamOf = (...events: string[]): Attempt => respondWith(200, { 'content-type': 'text/event-stream' }, events.join(''))

export class EntryFixture {
  /** What becomes of the attempts, in order; the dispatcher refuses the request once none is left. */
  attempts: Attempt[] = []
  sentCount = 0
  /** What the sidecar states when it is asked about an attempt whose connection broke. */
  revoked: Ran = 'unknown'
  hasRetries = true
  /** Whether the sidecar is of a build that names no id of an attempt. */
  isOldSidecar = false
  notReady: string | undefined
  /** Reports that an endpoint is sick, by its name; all attempts run at `e`. */
  readonly ejections = new EventEmitter()
  readonly control = { claim: async (): Promise<never> => { throw new Error('no quorum') }, settled: [] as string[] }
  private readonly sidecar: Server
  private pool!: Pool
  private http!: HttpServer
  private callers!: Pool

  constructor () {
    this.sidecar = createServer((request, response) => {
      this.sentCount += 1
      request.resume()
      if (!this.isOldSidecar) response.setHeader('x-gullwall-attempt-id', String(request.headers['x-gullwall-attemptid']))
      this.attempts.shift()?.(response)
    })
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => this.sidecar.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(this.sidecar.address() as AddressInfo).port}`
    this.pool = createPool(address)
    this.http = new HttpServer(createApi(this.options(address)))
    this.callers = new Pool(`http://${await this.http.listen('127.0.0.1:0')}`)
  }

  async stop (): Promise<void> {
    await Promise.all([this.callers.destroy(), this.pool.destroy()])
    this.sidecar.closeAllConnections()
    this.sidecar.close()
    await this.http.close()
  }

  /** Asks for a chat as a caller does. */
  async ask (body: object = {}, headers: Record<string, string> = {}): Promise<Answer> {
    const answer = await this.callers.request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { authorization: `Bearer ${counter.key}`, ...headers },
      body: JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: 'hello' }], ...body })
    })
    const text = await answer.body.text().catch(() => '')
    let error: Answer['error']
    try {
      error = (JSON.parse(text) as { error: Answer['error'] }).error
    } catch { /* Not an error of the entry. */ }
    return { status: answer.statusCode, headers: answer.headers as IncomingHttpHeaders, error, text }
  }

  /** The address on which callers are served. */
  get address (): string {
    return this.http.address
  }

  get authorization (): string {
    return `Bearer ${counter.key}`
  }

  private options (address: string): ApiOptions {
    const records = new RecordMap()
    records.apply(checkRecordsFile(RECORDS, 'records').unsafeCoerce())
    const { control } = this
    return {
      logger: createLogger({ program: 'test', box: 'b', write: () => {} }),
      records,
      limits: new OrganisationLimits(),
      metrics: { note: () => {} } as unknown as ApiOptions['metrics'],
      control: {
        claim: async () => await control.claim(),
        settle: async (key: string, _requestId: string, outcome: string) => { control.settled.push(`${key}: ${outcome}`) }
      } as unknown as Pick<ControlClient, 'claim' | 'settle'>,
      requestIds: new IdSequence('test', 'r'),
      body: { maxBytes: 10_000, timeoutMs: 100 },
      notReady: () => this.notReady,
      run: this.runServices(address)
    }
  }

  private runServices (address: string): RunServices {
    const submit = async (request: unknown): Promise<Either<Refusal, Grant>> => {
      if (this.attempts.length === 0) return Left({ reason: 'wait-passed', explanation: 'no endpoint', retryAfterMs: 500 })
      const sidecar = { name: 's', startId: 'start', dataCentre: 'd', address }
      return Right({ request, endpoint: 'e', sidecar, queuedMs: 0, grantedAt: 0, reason: 'test' } as unknown as Grant)
    }
    const dispatcher = {
      submit,
      cancel: () => {},
      completeGrant: () => {},
      findQueuePosition: () => undefined,
      listUsableEndpoints: () => [{ description: { name: 'e' }, sidecar: { name: 's', dataCentre: 'd' }, load: {} }],
      recordBusy: () => {},
      ejections: this.ejections,
      health: { recordStall: () => {} },
      directory: { listServed: () => new Set([MODEL]), findReachableEndpoints: () => [], labelsOf: () => ({ build: 'v1' }) }
    }
    return {
      dispatcher,
      decisions: { record: () => {} },
      retryBudget: { recordSuccess: () => {}, tryTake: () => this.hasRetries },
      attemptIds: new IdSequence('test', 'a'),
      startId: 'start',
      maxAnswerBytes: 10_000,
      poolOf: () => this.pool,
      whyHeld: () => undefined,
      recordAttempt: () => {},
      revoke: async () => this.revoked
    } as unknown as RunServices
  }
}
