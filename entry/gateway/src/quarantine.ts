/** Keeps requests under which endpoints crash from being sent to further ones, and learns which these are. */
import { heldRequestsIn, whyHeld } from '@gullwall/control.state'
import { type EndpointState } from '@gullwall/routing.balancer'
import { CrashReporter, CrashDetector, type InterruptedRequest } from '@gullwall/endpoint.crashes'
import { verdictOf, type AttemptOutcome } from './attempt-response-receiver.ts'
import { type Call } from './call.ts'
import { type GatewayServices } from './index.ts'

/** When a caller is asked to come back with a request that is held, in ms: it is held for minutes, and each try costs both sides. */
export const QUARANTINE_RETRY_MS = 60_000

export class Quarantine {
  /** Requests that were refused since the start. */
  refusedCount = 0
  private readonly watch: CrashDetector
  private readonly reporter: CrashReporter
  private held: ReadonlySet<string> = new Set()

  constructor (private readonly services: Pick<GatewayServices, 'store' | 'view' | 'logger' | 'controlLinks'>) {
    const { store, view, logger, controlLinks } = services
    this.reporter = new CrashReporter({ logger, sendReport: async (word) => await controlLinks.reportCrashes(word) })
    this.watch = new CrashDetector({
      getLeaseState: (incarnation) => view.leases.stateOf(incarnation),
      isReplaced: (incarnation) => view.leases.isReplaced(incarnation),
      onCrash: (endpoint, requests) => this.crashed(endpoint, requests)
    })
    this.recordsChanged()
    store.onChange(() => this.recordsChanged())
  }

  start (): void {
    this.watch.start()
  }

  stop (): void {
    this.watch.stop()
    this.reporter.stop()
  }

  /** How many requests are held, as this process knows. */
  get size (): number {
    return this.held.size
  }

  /** Crashes of endpoints with requests of this process, since the start. */
  get crashCount (): number {
    return this.reporter.crashCount
  }

  /** Why a request is sent to no endpoint; undefined if it may be. */
  findRefusalReason ({ fingerprint }: Pick<Call, 'fingerprint'>): string | undefined {
    const alone = this.reporter.locallyQuarantined
    if (this.held.size + alone.size === 0) return undefined
    const known = whyHeld(this.services.store.records, fingerprint())
    if (known !== undefined) return known
    return alone.has(fingerprint()) ? 'endpoints crashed while this request was running there, and control can not be told' : undefined
  }

  /** Notes what the end of an attempt tells of crashes: that its endpoint may have crashed, has ended, or lives. */
  recordOutcome (endpoint: EndpointState, call: Call, end: AttemptOutcome): void {
    if (end.type === 'broken' && end.isClosed) this.noteBroken(endpoint, call)
    if ((end.type === 'unsent' && end.isRefused === true) || verdictOf(end) === 'ended') this.watch.recordProcessEnd(endpoint.description.incarnation)
    if (end.type === 'answered' || end.type === 'failed') this.reporter.recordSuccess(call.fingerprint)
  }

  /** Notes that the connection to an endpoint ended by itself while a request was running there. */
  private noteBroken ({ description: { incarnation, address }, lastReceivedAt }: EndpointState, { requestId, fingerprint }: Call): void {
    const silentMs = Math.min(performance.now() - lastReceivedAt, this.services.view.leases.silentMs(incarnation))
    this.watch.recordBrokenConnection({ incarnation, address, silentMs }, { requestId, fingerprint: fingerprint() })
  }

  private crashed (endpoint: string, requests: InterruptedRequest[]): void {
    for (const { fingerprint, requestId } of requests) {
      const why = `${endpoint} crashed while it was running there, with ${requests.length - 1} others of this box`
      this.services.logger.info({ channel: 'quarantine', event: 'crashed', fingerprint, endpoint, request: requestId, why })
    }
    this.reporter.recordCrash({ endpoint, requests: [...new Set(requests.map(({ fingerprint }) => fingerprint))] })
  }

  private recordsChanged (): void {
    const { store, logger, view } = this.services
    const before = this.held
    this.held = heldRequestsIn(store.records)
    const fresh = [...this.held].filter((fingerprint) => !before.has(fingerprint))
    for (const fingerprint of fresh) logger.info({ channel: 'quarantine', event: 'held', fingerprint, why: 'sent to no endpoint from now on' })
    for (const fingerprint of before) {
      if (!this.held.has(fingerprint)) logger.info({ channel: 'quarantine', event: 'released', fingerprint, why: 'it may run again' })
    }
    // What waits for an endpoint is refused at once.
    if (fresh.length > 0) view.wake()
  }
}
