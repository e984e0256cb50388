/** The server that callers reach, and its planned stop. */
import { type IdSequence } from '@gullwall/core.ids'
import { heldPartsIn, whyHeld } from '@gullwall/control.state'
import { type RequestToRun } from '@gullwall/entry.answers'
import { createApi } from '@gullwall/entry.server'
import { describeHeldPart, HeldParts } from '@gullwall/routing.quarantine'
import { OrganisationLimits, RetryBudget } from '@gullwall/routing.limits'
import { HttpServer } from '@gullwall/transport.http-server'
import { type EntryServices } from './index.ts'

export interface CallerServerOptions {
  requestIds: IdSequence
  attemptIds: IdSequence
}

/** Time for the platform's balancer to see that the readiness check fails, in ms. */
const BALANCER_GRACE_MS = 1000
const SWEEP_MS = 30_000

export class CallerServer {
  isStopping = false
  address = ''
  readonly retryBudget = new RetryBudget()
  private readonly http: HttpServer
  private readonly limits = new OrganisationLimits()
  private readonly heldParts: HeldParts
  private sweepTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: EntryServices, options: CallerServerOptions) {
    const { settings, store, metrics, control, dispatcher, decisions, startId, sidecars } = services
    this.heldParts = new HeldParts(settings.box)
    this.heldParts.replace(heldPartsIn(store.records))
    store.onChange(() => { this.heldParts.replace(heldPartsIn(store.records)) })
    this.http = new HttpServer(createApi({
      logger: services.logger,
      records: store.records,
      limits: this.limits,
      metrics,
      control,
      requestIds: options.requestIds,
      body: { maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs },
      notReady: () => control.notReady(),
      run: {
        dispatcher,
        decisions,
        retryBudget: this.retryBudget,
        attemptIds: options.attemptIds,
        startId,
        maxAnswerBytes: settings.maxAnswerBytes,
        whyHeld: (request) => whyHeld(store.records, request.fingerprint) ?? this.whyPartHeld(request),
        recordAttempt: (request) => this.heldParts.recordRun(request),
        poolOf: (address) => sidecars.poolOf(address),
        revoke: (grant, attemptId) => sidecars.revoke(grant, attemptId)
      }
    }))
  }

  private whyPartHeld (request: RequestToRun): string | undefined {
    const held = this.heldParts.find(request, request, request.serves)
    return held === undefined ? undefined : describeHeldPart(held)
  }

  async start (): Promise<void> {
    const { settings, logger, store } = this.services
    this.address = await this.http.listen(settings.listen)
    this.sweepTimer = setInterval(() => this.limits.sweep((name) => store.records.get('organisation', name)), SWEEP_MS)
    logger.info({ channel: 'process', event: 'started', address: this.address, why: 'serving callers' })
  }

  /** Fails the readiness check, goes on answering for a while, finishes what is in flight, then closes. */
  async stop (): Promise<void> {
    this.isStopping = true
    clearInterval(this.sweepTimer)
    this.services.logger.info({ channel: 'process', event: 'stopping', why: 'asked to' })
    await new Promise((resolve) => setTimeout(resolve, BALANCER_GRACE_MS))
    await this.http.close()
  }
}
