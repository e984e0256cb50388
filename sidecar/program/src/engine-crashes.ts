/** Detects crashes of the endpoints of this box, and reports to control which requests were running there. */
import { CrashReporter, CrashDetector, type InterruptedRequest } from '@gullwall/endpoint.crashes'
import { type AttemptCrashes, type ServedAttempt } from '@gullwall/sidecar.attempts'
import { type SidecarServices } from './index.ts'

export class EngineCrashes implements AttemptCrashes {
  private readonly detector: CrashDetector
  private readonly reporter: CrashReporter
  /** Number of crashes by endpoint. It distinguishes the lives of an endpoint, which keeps its name when it restarts. */
  private readonly crashes = new Map<string, number>()

  constructor (private readonly services: Pick<SidecarServices, 'startId' | 'logger' | 'entryLinks' | 'control' | 'notices'>) {
    this.reporter = new CrashReporter({
      logger: services.logger, sendReport: async (report) => await services.control.reportCrashes(report)
    })
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
  }

  currentLife (endpoint: string): string {
    return `${this.services.startId}/${endpoint}/${this.crashes.get(endpoint) ?? 0}`
  }

  recordBrokenConnection ({ life, address, requestId, fingerprint }: ServedAttempt): void {
    this.detector.recordBrokenConnection({ incarnation: life, address, silentMs: 0 }, { requestId, fingerprint })
  }

  recordRefusedConnection ({ life }: Pick<ServedAttempt, 'life'>): void {
    this.detector.recordProcessEnd(life)
  }

  recordSuccess ({ fingerprint }: Pick<ServedAttempt, 'fingerprint'>): void {
    this.reporter.recordSuccess(() => fingerprint)
  }

  private handleCrash (life: string, requests: InterruptedRequest[]): void {
    const endpoint = life.split('/').slice(1, -1).join('/')
    // Later breaks of the same crash belong to the life that has already ended.
    if (life === this.currentLife(endpoint)) {
      this.crashes.set(endpoint, (this.crashes.get(endpoint) ?? 0) + 1)
      this.services.notices.forget(endpoint)
    }
    for (const { fingerprint, requestId } of requests) {
      const why = `${endpoint} crashed while it was running there, with ${requests.length - 1} others`
      this.services.logger.info({ channel: 'quarantine', event: 'crashed', fingerprint, endpoint, request: requestId, why })
    }
    this.reporter.recordCrash({ endpoint: life, requests: [...new Set(requests.map(({ fingerprint }) => fingerprint))] })
  }
}
