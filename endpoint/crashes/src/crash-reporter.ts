/** Reports to control which requests were running at crashed endpoints, and repeats each report until a quorum has it. */
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { findCrashCauses, type Crash, type PartAtCrash } from '@gullwall/routing.quarantine'
import { type MessageOf } from '@gullwall/transport.messages'

/** The delay before a report is sent, in ms, so that it covers all requests of a crash. */
const REPORT_DELAY_MS = 20
/** The delay before a failed report is repeated, in ms. */
const RETRY_DELAY_MS = 300
/** The maximum number of crashes in one report. */
const MAX_CRASHES_PER_REPORT = 16
/** The number of unreported crashes that are kept; the oldest is dropped. */
const MAX_UNREPORTED = 128
/** The number of requests that are watched for success after a crash; the oldest is dropped. */
const MAX_WATCHED = 512
/** The time without a successful report after which this process decides alone, in ms: a quorum with a leader replies in about 50 ms. */
const ISOLATION_MS = 1000

/** A crash as this process has seen it. */
export interface SeenCrash extends Crash {
  /** The parts of the prompts of these requests that may have caused it. */
  parts?: PartAtCrash[]
}

export interface CrashReporterOptions {
  /** Sends a report to control; rejects if no quorum has it. */
  sendReport: (report: Omit<MessageOf<'crashes'>, 'kind'>) => Promise<void>
  logger: Logger
  now?: () => number
}

export class CrashReporter {
  /** The number of crashes recorded since the process started. */
  crashCount = 0
  private unreported: SeenCrash[] = []
  /** Fingerprints of requests that completed after they had been running at a crash, to be reported. */
  private succeeded: string[] = []
  /** Fingerprints of requests that were running at a crash and have not completed since. */
  private readonly watched = new Set<string>()
  /** The time from which reports are pending; undefined if none are. */
  private pendingSince: number | undefined
  /** The requests that this process alone would quarantine; undefined until they are computed. */
  private localDecision: ReadonlySet<string> | undefined
  private isReporting = false
  private isStopped = false
  private timer: NodeJS.Timeout | undefined
  private readonly now: () => number

  constructor (private readonly options: CrashReporterOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  stop (): void {
    this.isStopped = true
    clearTimeout(this.timer)
  }

  /** Records a crash with the requests that were running there. */
  recordCrash (crash: SeenCrash): void {
    this.crashCount += 1
    this.unreported = [...this.unreported, crash].slice(-MAX_UNREPORTED)
    this.localDecision = undefined
    for (const fingerprint of crash.requests) {
      this.watched.delete(fingerprint)
      this.watched.add(fingerprint)
    }
    for (const fingerprint of [...this.watched].slice(0, Math.max(0, this.watched.size - MAX_WATCHED))) this.watched.delete(fingerprint)
    this.scheduleNewReport()
  }

  /** Records that a request completed without a crash. The fingerprint is computed only if requests are watched. */
  recordSuccess (computeFingerprint: () => string): void {
    if (this.watched.size === 0) return
    const fingerprint = computeFingerprint()
    if (!this.watched.delete(fingerprint)) return
    this.succeeded = [...this.succeeded, fingerprint].slice(-MAX_WATCHED)
    this.scheduleNewReport()
  }

  /**
   * The requests to quarantine on the evidence of this process alone. The set is empty while reports reach control, which has the
   * evidence of all processes.
   */
  get locallyQuarantined (): ReadonlySet<string> {
    if (!this.isIsolated) return NONE
    this.localDecision ??= new Set(findCrashCauses({
      crashes: groupByEndpoint(this.unreported), quarantined: NONE, formerlyQuarantined: NONE
    }))
    return this.localDecision
  }

  /** Whether reports have not reached control for a while, so that this process decides alone. */
  get isIsolated (): boolean {
    return this.pendingSince !== undefined && this.now() - this.pendingSince > ISOLATION_MS
  }

  private scheduleNewReport (): void {
    this.pendingSince ??= this.now()
    this.scheduleReport(REPORT_DELAY_MS)
  }

  private scheduleReport (delayMs: number): void {
    if (this.isStopped || this.isReporting || this.timer !== undefined) return
    this.timer = setTimeout(() => { void this.sendReport() }, delayMs)
  }

  private async sendReport (): Promise<void> {
    this.timer = undefined
    this.isReporting = true
    const crashes = this.unreported.slice(0, MAX_CRASHES_PER_REPORT)
    const succeeded = this.succeeded
    let delayMs = REPORT_DELAY_MS
    try {
      await this.options.sendReport({ crashes, ranWell: succeeded })
      this.unreported = this.unreported.filter((crash) => !crashes.includes(crash))
      this.succeeded = this.succeeded.filter((fingerprint) => !succeeded.includes(fingerprint))
      this.localDecision = undefined
      this.pendingSince = this.unreported.length + this.succeeded.length === 0 ? undefined : this.now()
    } catch (error) {
      delayMs = RETRY_DELAY_MS
      this.options.logger.sampled('crashes not reported', { channel: 'quarantine', event: 'postponed', fingerprint: '', why: messageOf(error) })
    }
    this.isReporting = false
    if (this.pendingSince !== undefined) this.scheduleReport(delayMs)
  }
}

const NONE: ReadonlySet<string> = new Set()

/** Returns the parts that may have crashed an endpoint with some requests, each pair of part and organisation once. */
export function collectSuspectedParts (requests: ReadonlyArray<{ suspectedParts?: PartAtCrash[] }>): PartAtCrash[] {
  const pairs = new Map<string, PartAtCrash>()
  // The latest requests come first: an endpoint crashes soon after it has begun with the cause, and the evidence of one crash is limited.
  for (const [part, organisation, position] of requests.toReversed().flatMap(({ suspectedParts }) => suspectedParts ?? [])) {
    const known = pairs.get(`${part} ${organisation}`)
    pairs.set(`${part} ${organisation}`, [part, organisation, Math.min(position, known?.[2] ?? position)])
  }
  return [...pairs.values()]
}

/** Merges the requests of all reports about one endpoint. */
function groupByEndpoint (crashes: readonly Crash[]): Array<Set<string>> {
  const groups = new Map<string, Set<string>>()
  for (const { endpoint, requests } of crashes) groups.set(endpoint, new Set([...groups.get(endpoint) ?? [], ...requests]))
  return [...groups.values()]
}
