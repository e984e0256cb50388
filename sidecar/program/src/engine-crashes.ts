/** Watches the endpoints of this box for crashes, and tells control what was running there. */
import { CrashReporter, CrashDetector, type InterruptedRequest } from '@gullwall/endpoint.crashes'
import { type AttemptCrashes, type ServedAttempt } from '@gullwall/sidecar.attempts'
import { type SidecarServices } from './index.ts'

export class EngineCrashes implements AttemptCrashes {
  private readonly watch: CrashDetector
  private readonly reporter: CrashReporter
  /** How often each endpoint has crashed: an endpoint of a box keeps its name over its lives. */
  private readonly crashes = new Map<string, number>()

  constructor (private readonly services: Pick<SidecarServices, 'startId' | 'logger' | 'entryLinks' | 'control' | 'notices'>) {
    this.reporter = new CrashReporter({ logger: services.logger, sendReport: async (word) => await services.control.tellCrashes(word) })
    this.watch = new CrashDetector({
      // The links are made with this object in hand, and are there once anything runs.
      getLeaseState: () => services.entryLinks.isLeaving ? 'draining' : 'ready',
      isReplaced: () => false,
      onCrash: (life, requests) => this.crashed(life, requests)
    })
  }

  start (): void {
    this.watch.start()
  }

  stop (): void {
    this.watch.stop()
    this.reporter.stop()
  }

  lifeOf (endpoint: string): string {
    return `${this.services.startId}/${endpoint}/${this.crashes.get(endpoint) ?? 0}`
  }

  noteBroken ({ life, address, requestId, fingerprint }: ServedAttempt): void {
    this.watch.recordBrokenConnection({ incarnation: life, address, silentMs: 0 }, { requestId, fingerprint })
  }

  noteRefused ({ life }: Pick<ServedAttempt, 'life'>): void {
    this.watch.recordProcessEnd(life)
  }

  noteRanWell ({ fingerprint }: Pick<ServedAttempt, 'fingerprint'>): void {
    this.reporter.recordSuccess(() => fingerprint)
  }

  private crashed (life: string, requests: InterruptedRequest[]): void {
    const endpoint = life.split('/').slice(1, -1).join('/')
    // What breaks later with the same crash names the life that has ended already.
    if (life === this.lifeOf(endpoint)) {
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
