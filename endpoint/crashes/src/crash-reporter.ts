/** Tells control what was running at endpoints that crashed, again until a quorum has it. */
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { findCrashCauses, type Crash } from '@gullwall/routing.quarantine'
import { type MessageOf } from '@gullwall/transport.messages'

/** What breaks with one crash is told together after this time, in ms. */
const TELL_MS = 20
/** After which it is tried again, in ms. */
const RETRY_MS = 300
/** One message tells of so many crashes; the others follow. */
const MAX_TOLD = 16
/** Crashes that are kept while nobody can be told, and requests that are watched for running well; the oldest gives way. */
const MAX_UNTOLD = 128
const MAX_WATCHED = 512
/** Whoever could tell nobody for so long decides by itself, in ms: a quorum that has a leader answers within some 50 ms. */
const ALONE_MS = 1000

export interface CrashReporterOptions {
  sendReport: (word: Omit<MessageOf<'crashes'>, 'kind'>) => Promise<void>
  logger: Logger
  now?: () => number
}

export class CrashReporter {
  /** Crashes with requests since the start. */
  crashCount = 0
  private untold: Crash[] = []
  /** Requests that ran well after they had been running at a crash. */
  private ranWell: string[] = []
  /** Requests that were running at a crash, as this process saw; they are cleared if they run well. */
  private readonly watched = new Set<string>()
  private untoldSince: number | undefined
  private heldAlone: ReadonlySet<string> | undefined
  private isTelling = false
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

  /** Notes what was running at an endpoint that has crashed. */
  recordCrash (crash: Crash): void {
    this.crashCount += 1
    this.untold = [...this.untold, crash].slice(-MAX_UNTOLD)
    this.heldAlone = undefined
    for (const fingerprint of crash.requests) {
      this.watched.delete(fingerprint)
      this.watched.add(fingerprint)
    }
    for (const fingerprint of [...this.watched].slice(0, Math.max(0, this.watched.size - MAX_WATCHED))) this.watched.delete(fingerprint)
    this.tellSoon()
  }

  /** Notes that an endpoint has run a request and lives; the fingerprint is only taken where it may be of use. */
  recordSuccess (fingerprintOf: () => string): void {
    if (this.watched.size === 0) return
    const fingerprint = fingerprintOf()
    if (!this.watched.delete(fingerprint)) return
    this.ranWell = [...this.ranWell, fingerprint].slice(-MAX_WATCHED)
    this.tellSoon()
  }

  /** Requests to hold by what this process alone has seen; none while control can be told, which knows more. */
  get locallyQuarantined (): ReadonlySet<string> {
    const isAlone = this.untoldSince !== undefined && this.now() - this.untoldSince > ALONE_MS
    if (!isAlone) return NONE
    this.heldAlone ??= new Set(findCrashCauses({ crashes: byEndpoint(this.untold), quarantined: NONE, formerlyQuarantined: NONE }))
    return this.heldAlone
  }

  private tellSoon (): void {
    this.untoldSince ??= this.now()
    this.tellIn(TELL_MS)
  }

  private tellIn (ms: number): void {
    if (this.isStopped || this.isTelling || this.timer !== undefined) return
    this.timer = setTimeout(() => { void this.tell() }, ms)
  }

  private async tell (): Promise<void> {
    this.timer = undefined
    this.isTelling = true
    const crashes = this.untold.slice(0, MAX_TOLD)
    const ranWell = this.ranWell
    let waitMs = TELL_MS
    try {
      await this.options.sendReport({ crashes, ranWell })
      this.untold = this.untold.filter((crash) => !crashes.includes(crash))
      this.ranWell = this.ranWell.filter((fingerprint) => !ranWell.includes(fingerprint))
      this.heldAlone = undefined
      this.untoldSince = this.untold.length + this.ranWell.length === 0 ? undefined : this.now()
    } catch (error) {
      waitMs = RETRY_MS
      this.options.logger.sampled('crashes not told', { channel: 'quarantine', event: 'postponed', fingerprint: '', why: messageOf(error) })
    }
    this.isTelling = false
    if (this.untoldSince !== undefined) this.tellIn(waitMs)
  }
}

const NONE: ReadonlySet<string> = new Set()

/** What ran at each endpoint, put together from several words. */
function byEndpoint (crashes: readonly Crash[]): Array<Set<string>> {
  const found = new Map<string, Set<string>>()
  for (const { endpoint, requests } of crashes) found.set(endpoint, new Set([...found.get(endpoint) ?? [], ...requests]))
  return [...found.values()]
}
