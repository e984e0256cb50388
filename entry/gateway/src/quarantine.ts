/** Detects requests under which endpoints crash, reports them to control, and refuses the quarantined ones. */
import { heldRequestsIn, whyHeld } from '@gullwall/control.state'
import { type EndpointState } from '@gullwall/routing.balancer'
import { CrashReporter, CrashDetector, type InterruptedRequest } from '@gullwall/endpoint.crashes'
import { verdictOf, type AttemptOutcome } from './attempt-response-receiver.ts'
import { type Call } from './call.ts'
import { type GatewayServices } from './index.ts'

/** Retry delay for the caller of a quarantined request, in ms. A quarantine lasts for minutes, and each retry costs both sides. */
export const QUARANTINE_RETRY_MS = 60_000

export class Quarantine {
  /** Number of quarantined requests that were refused since the start. */
  refusedCount = 0
  private readonly detector: CrashDetector
  private readonly reporter: CrashReporter
  /** Fingerprints of the quarantined requests. */
  private quarantined: ReadonlySet<string> = new Set()

  constructor (private readonly services: Pick<GatewayServices, 'store' | 'view' | 'logger' | 'controlLinks'>) {
    const { store, view, logger, controlLinks } = services
    this.reporter = new CrashReporter({ logger, sendReport: async (report) => await controlLinks.reportCrashes(report) })
    this.detector = new CrashDetector({
      getLeaseState: (incarnation) => view.leases.stateOf(incarnation),
      isReplaced: (incarnation) => view.leases.isReplaced(incarnation),
      onCrash: (endpoint, requests) => this.recordCrash(endpoint, requests)
    })
    this.updateQuarantined()
    store.onChange(() => this.updateQuarantined())
  }

  start (): void {
    this.detector.start()
  }

  stop (): void {
    this.detector.stop()
    this.reporter.stop()
  }

  /** Number of quarantined requests that this process knows. */
  get size (): number {
    return this.quarantined.size
  }

  /** Number of crashes of endpoints that were running requests of this process, since the start. */
  get crashCount (): number {
    return this.reporter.crashCount
  }

  /** Returns why a request may not be sent to any endpoint; undefined if it may. */
  findRefusalReason ({ fingerprint }: Pick<Call, 'fingerprint'>): string | undefined {
    const localOnly = this.reporter.locallyQuarantined
    if (this.quarantined.size + localOnly.size === 0) return undefined
    const reason = whyHeld(this.services.store.records, fingerprint())
    if (reason !== undefined) return reason
    return localOnly.has(fingerprint()) ? 'endpoints crashed while this request was running there, and control is unreachable' : undefined
  }

  /** Records what the outcome of an attempt shows: the endpoint may have crashed, has ended, or is still running. */
  recordOutcome (endpoint: EndpointState, call: Call, outcome: AttemptOutcome): void {
    if (outcome.type === 'broken' && outcome.isClosed) this.recordBroken(endpoint, call)
    if ((outcome.type === 'unsent' && outcome.isRefused === true) || verdictOf(outcome) === 'ended') this.detector.recordProcessEnd(endpoint.description.incarnation)
    if (outcome.type === 'answered' || outcome.type === 'failed') this.reporter.recordSuccess(call.fingerprint)
  }

  /** Records that the connection to an endpoint was lost while a request was running there. */
  private recordBroken ({ description: { incarnation, address }, lastReceivedAt }: EndpointState, call: Call): void {
    const { requestId, fingerprint, prompt } = call
    const silentMs = Math.min(performance.now() - lastReceivedAt, this.services.view.leases.silentMs(incarnation))
    this.detector.recordBrokenConnection({ incarnation, address, silentMs }, {
      requestId, fingerprint: fingerprint(), parts: prompt.map(({ id }) => id).filter((id) => id !== '')
    })
  }

  private recordCrash (endpoint: string, requests: InterruptedRequest[]): void {
    for (const { fingerprint, requestId, parts } of requests) {
      const why = `${endpoint} crashed while running this request and ${requests.length - 1} others of this box`
      this.services.logger.info({ channel: 'quarantine', event: 'crashed', fingerprint, endpoint, request: requestId, parts, why })
    }
    this.reporter.recordCrash({ endpoint, requests: [...new Set(requests.map(({ fingerprint }) => fingerprint))] })
  }

  /** Updates the quarantined requests from the stored records, and logs the changes. */
  private updateQuarantined (): void {
    const { store, logger, view } = this.services
    const before = this.quarantined
    this.quarantined = heldRequestsIn(store.records)
    const added = [...this.quarantined].filter((fingerprint) => !before.has(fingerprint))
    for (const fingerprint of added) {
      logger.info({ channel: 'quarantine', event: 'held', fingerprint, why: 'quarantine began: the request is not sent to any endpoint' })
    }
    for (const fingerprint of before) {
      if (!this.quarantined.has(fingerprint)) logger.info({ channel: 'quarantine', event: 'released', fingerprint, why: 'quarantine ended' })
    }
    // Wakes waiting requests, so that quarantined ones among them are refused at once.
    if (added.length > 0) view.wake()
  }
}
