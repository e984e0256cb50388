/** Detects requests and parts of prompts under which endpoints crash, reports them to control, and refuses the quarantined ones. */
import { heldRequestsIn, whyHeld } from '@gullwall/control.state'
import { type EndpointState } from '@gullwall/routing.balancer'
import { collectSuspectedParts, CrashReporter, CrashDetector, type InterruptedRequest } from '@gullwall/endpoint.crashes'
import { hasRun, verdictOf, type AttemptOutcome, type AttemptRun } from './attempt-response-receiver.ts'
import { type Call } from './call.ts'
import { type GatewayServices } from './index.ts'
import { PartQuarantine } from './part-quarantine.ts'

/** Retry delay for the caller of a quarantined request, in ms. A quarantine lasts for minutes, and each retry costs both sides. */
export const QUARANTINE_RETRY_MS = 60_000

export class Quarantine {
  /** Number of quarantined requests that were refused since the start. */
  refusedCount = 0
  private readonly detector: CrashDetector
  private readonly reporter: CrashReporter
  readonly parts: PartQuarantine
  /** Fingerprints of the quarantined requests. */
  private quarantined: ReadonlySet<string> = new Set()

  constructor (private readonly services: Pick<GatewayServices, 'settings' | 'store' | 'view' | 'logger' | 'controlLinks'>) {
    const { store, view, logger, controlLinks } = services
    this.reporter = new CrashReporter({ logger, sendReport: async (report) => await controlLinks.reportCrashes(report) })
    this.detector = new CrashDetector({
      getLeaseState: (incarnation) => view.leases.stateOf(incarnation),
      isReplaced: (incarnation) => view.leases.isReplaced(incarnation),
      onCrash: (endpoint, requests) => this.recordCrash(endpoint, requests)
    })
    this.parts = new PartQuarantine(services, () => this.reporter.isIsolated)
    this.updateQuarantined()
    store.onChange(() => this.updateQuarantined())
  }

  start (): void {
    this.detector.start()
  }

  stop (): void {
    this.detector.stop()
    this.reporter.stop()
    this.parts.stop()
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
  findRefusalReason (call: Call): string | undefined {
    return this.findRequestReason(call) ?? this.parts.findRefusalReason(call)
  }

  private findRequestReason ({ fingerprint }: Call): string | undefined {
    const localOnly = this.reporter.locallyQuarantined
    if (this.quarantined.size + localOnly.size === 0) return undefined
    const reason = whyHeld(this.services.store.records, fingerprint())
    if (reason !== undefined) return reason
    return localOnly.has(fingerprint()) ? 'endpoints crashed while this request was running there, and control is unreachable' : undefined
  }

  /** Records what the outcome of an attempt shows: the endpoint may have crashed, has ended, or is still running. */
  recordOutcome (endpoint: EndpointState, call: Call, outcome: AttemptOutcome, run: AttemptRun): void {
    if (hasRun(outcome)) this.parts.recordAttempt(call)
    if (outcome.type === 'answered' && run.isSuccessful) this.parts.recordRun(endpoint, call, run.beganAt)
    if (outcome.type === 'broken' && outcome.isClosed) this.recordBroken(endpoint, call, run)
    if ((outcome.type === 'unsent' && outcome.isRefused === true) || verdictOf(outcome) === 'ended') this.detector.recordProcessEnd(endpoint.description.incarnation)
    if (outcome.type === 'answered' || outcome.type === 'failed' || outcome.type === 'unproven') this.reporter.recordSuccess(call.fingerprint)
  }

  /** Records that the connection to an endpoint was lost while a request was running there. */
  private recordBroken (endpoint: EndpointState, call: Call, { hasRunWell }: AttemptRun): void {
    const { description: { incarnation, address }, lastReceivedAt } = endpoint
    const { requestId, fingerprint, prompt } = call
    const silentMs = Math.min(performance.now() - lastReceivedAt, this.services.view.leases.silentMs(incarnation))
    this.detector.recordBrokenConnection({ incarnation, address, silentMs }, {
      requestId,
      fingerprint: fingerprint(),
      parts: prompt.map(({ id }) => id).filter((id) => id !== ''),
      suspectedParts: hasRunWell ? [] : this.parts.partsAtCrash(endpoint, call)
    })
  }

  private recordCrash (endpoint: string, requests: InterruptedRequest[]): void {
    for (const { fingerprint, requestId, parts } of requests) {
      const why = `${endpoint} crashed while running this request and ${requests.length - 1} others of this box`
      this.services.logger.info({ channel: 'quarantine', event: 'crashed', fingerprint, endpoint, request: requestId, parts, why })
    }
    const suspectedParts = collectSuspectedParts(requests)
    this.parts.observer.recordCrash(endpoint, suspectedParts)
    this.reporter.recordCrash({ endpoint, requests: [...new Set(requests.map(({ fingerprint }) => fingerprint))], parts: suspectedParts })
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
    const hasNewParts = this.parts.update()
    // Wakes waiting requests, so that quarantined ones among them are refused at once.
    if (added.length > 0 || hasNewParts) view.wake()
  }
}
