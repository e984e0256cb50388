/** Detects crashes of the endpoints of this box, and reports to control which requests were running there. */
import { heldPartsIn } from '@gullwall/control.state'
import { collectSuspectedParts, CrashReporter, CrashDetector, PartObserver, type InterruptedRequest } from '@gullwall/endpoint.crashes'
import { HeldParts } from '@gullwall/routing.quarantine'
import { type AttemptCrashes, type AttemptProgress, type ServedAttempt } from '@gullwall/sidecar.attempts'
import { type SidecarServices } from './index.ts'

export class EngineCrashes implements AttemptCrashes {
  private readonly detector: CrashDetector
  private readonly reporter: CrashReporter
  readonly parts: PartObserver
  private readonly heldParts: HeldParts
  /** Number of crashes by endpoint. It distinguishes the lives of an endpoint, which keeps its name when it restarts. */
  private readonly crashes = new Map<string, number>()

  constructor (private readonly services: Pick<SidecarServices, 'settings' | 'startId' | 'logger' | 'store' | 'entryLinks' | 'control' | 'notices'>) {
    this.reporter = new CrashReporter({
      logger: services.logger, sendReport: async (report) => await services.control.reportCrashes(report)
    })
    this.heldParts = new HeldParts(services.settings.box)
    this.parts = new PartObserver({
      links: () => services.control.openLinks,
      findReleasable: (parts, organisation, beganAt) => this.heldParts.findReleasable(parts, organisation, beganAt)
    })
    this.heldParts.replace(heldPartsIn(services.store.records))
    services.store.onChange(() => { this.heldParts.replace(heldPartsIn(services.store.records)) })
    this.detector = new CrashDetector({
      // The links are created after this object, but before any attempt runs.
      getLeaseState: () => services.entryLinks.isLeaving ? 'draining' : 'ready',
      isReplaced: () => false,
      onCrash: (life, requests) => this.handleCrash(life, requests)
    })
  }

  start (): void {
    this.detector.start()
  }

  stop (): void {
    this.detector.stop()
    this.reporter.stop()
    this.parts.stop()
  }

  currentLife (endpoint: string): string {
    return `${this.services.startId}/${endpoint}/${this.crashes.get(endpoint) ?? 0}`
  }

  recordBrokenConnection (attempt: ServedAttempt, { hasRunWell }: AttemptProgress): void {
    const { life, address, requestId, fingerprint, parts, organisation } = attempt
    this.detector.recordBrokenConnection({ incarnation: life, address, silentMs: 0 }, {
      requestId,
      fingerprint,
      parts,
      suspectedParts: hasRunWell ? [] : parts.map((part, position) => [part, organisation, position])
    })
  }

  recordRefusedConnection ({ life }: Pick<ServedAttempt, 'life'>): void {
    this.detector.recordProcessEnd(life)
  }

  recordSuccess ({ fingerprint }: Pick<ServedAttempt, 'fingerprint'>): void {
    this.reporter.recordSuccess(() => fingerprint)
  }

  recordGoodRun ({ parts, organisation }: ServedAttempt, { beganAt }: AttemptProgress): void {
    this.parts.recordRun(parts, organisation, beganAt)
  }

  private handleCrash (life: string, requests: InterruptedRequest[]): void {
    const endpoint = life.split('/').slice(1, -1).join('/')
    // Later breaks of the same crash belong to the life that has already ended.
    if (life === this.currentLife(endpoint)) {
      this.crashes.set(endpoint, (this.crashes.get(endpoint) ?? 0) + 1)
      this.services.notices.forget(endpoint)
    }
    for (const { fingerprint, requestId, parts } of requests) {
      const why = `${endpoint} crashed while it was running there, with ${requests.length - 1} others`
      this.services.logger.info({ channel: 'quarantine', event: 'crashed', fingerprint, endpoint, request: requestId, parts, why })
    }
    const parts = collectSuspectedParts(requests)
    this.reporter.recordCrash({ endpoint: life, requests: [...new Set(requests.map(({ fingerprint }) => fingerprint))], parts })
  }
}
