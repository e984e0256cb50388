/**
 * Adds the crash reports of entries to the replicated state. The leader of the quorum has the crashes evaluated, and removed after
 * a retention time. Each leader measures the age of crashes from the start of its leadership, so that none is removed too early.
 */
import { messageOf } from '@gullwall/core.error'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { type ForgetCrashesCommand, type QuarantineResult } from '@gullwall/control.state'
import { type MessageOf } from '@gullwall/transport.messages'
import { AgeTracker } from './age-tracker.ts'
import { type ControlServices } from './index.ts'

/** Interval at which the leader checks for crashes to evaluate or to remove, in ms. */
const CHECK_INTERVAL_MS = 50
/**
 * Delay between the first report of a crash and its evaluation, in ms. Entries report a crash within 20 ms and a round trip, and
 * the first report alone must not decide. A longer delay would let a request that its caller repeats at once crash more endpoints.
 */
const EVALUATION_DELAY_MS = 150
/** Retention time of a crash, in ms. Callers that repeat a request by hand do so within minutes. */
const CRASH_RETENTION_MS = 10 * 60_000
/** Quarantine time of a request, in ms. After it a single crash quarantines the request again: one endpoint in half an hour at most. */
const QUARANTINE_MS = 30 * 60_000

export interface CrashEvaluatorOptions {
  crashRetentionMs?: number
  quarantineMs?: number
  now?: () => number
}

export class CrashEvaluator {
  private readonly crashAges = new AgeTracker<string>()
  private readonly quarantineAges = new AgeTracker<string>()
  private readonly now: () => number
  private unevaluatedSince: number | undefined
  private isBusy = false
  private timer: NodeJS.Timeout | undefined

  constructor (
    private readonly services: Pick<ControlServices, 'state' | 'quorum' | 'proposer' | 'logger'>,
    private readonly options: CrashEvaluatorOptions = {}
  ) {
    this.now = options.now ?? (() => performance.now())
  }

  start (): void {
    this.timer = setInterval(() => { void this.runDueCommands() }, CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  addMetrics (registry: Registry): void {
    const { evidence } = this.services.state.quarantine
    const add = (name: string, help: string, value: () => number) => {
      const metric = gauge(registry, name, help)
      Object.assign(metric, { collect: () => metric.set(value()) })
    }
    add('gullwall_quarantined_requests', 'Requests that are held because endpoints crash under them', () => evidence.quarantined.size)
    add('gullwall_crash_suspects', 'Requests that were running when an endpoint crashed and are not held', () => evidence.suspectCount)
    add('gullwall_crashes_kept', 'Crashes of endpoints that are remembered', () => evidence.endpoints.length)
  }

  /**
   * Records the crash report of an entry. The report is durable once the promise resolves.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN; the entry may send the same report again
   */
  async recordCrashes ({ crashes, ranWell }: MessageOf<'crashes'>): Promise<MessageOf<'done'>> {
    const result = await this.services.proposer.applyQuarantineCommand({ type: 'note-crashes', crashes, ranWell })
    this.log(result, 'the request completed successfully')
    return { kind: 'done' }
  }

  /** Evaluates and removes the crashes that are due, if this process leads. */
  async runDueCommands (): Promise<void> {
    if (this.services.quorum.role !== 'leader') {
      this.unevaluatedSince = undefined
      this.crashAges.reset()
      this.quarantineAges.reset()
      return
    }
    if (this.isBusy) return
    this.isBusy = true
    try {
      await this.evaluateIfDue()
      await this.removeIfDue()
    } catch (error) {
      this.services.logger.warn({ channel: 'quarantine', event: 'postponed', fingerprint: '', why: messageOf(error) })
    } finally {
      this.isBusy = false
    }
  }

  private async evaluateIfDue (): Promise<void> {
    const { evidence } = this.services.state.quarantine
    if (evidence.isEvaluated) {
      this.unevaluatedSince = undefined
      return
    }
    const now = this.now()
    this.unevaluatedSince ??= now
    if (now - this.unevaluatedSince < EVALUATION_DELAY_MS) return
    this.unevaluatedSince = undefined
    this.log(await this.services.proposer.applyQuarantineCommand({ type: 'judge-crashes' }), 'too many requests are quarantined')
  }

  private async removeIfDue (): Promise<void> {
    const { evidence } = this.services.state.quarantine
    const { crashRetentionMs = CRASH_RETENTION_MS, quarantineMs = QUARANTINE_MS } = this.options
    const now = this.now()
    const due: ForgetCrashesCommand = {
      type: 'forget-crashes',
      endpoints: this.crashAges.findOlderThan(crashRetentionMs, evidence.endpoints, now),
      requests: this.quarantineAges.findOlderThan(quarantineMs, evidence.quarantined, now)
    }
    if (due.endpoints.length + due.requests.length === 0) return
    this.log(await this.services.proposer.applyQuarantineCommand(due), 'the quarantine time is over; one more crash quarantines the request again')
  }

  private log ({ held, released }: QuarantineResult, releaseReason: string): void {
    const { logger, state: { quarantine: { evidence } } } = this.services
    for (const fingerprint of held) {
      const why = `${evidence.countCrashes(fingerprint)} endpoints crashed while the request was running there, and no other request explains the crashes`
      logger.warn({ channel: 'quarantine', event: 'held', fingerprint, why })
    }
    for (const fingerprint of released) logger.info({ channel: 'quarantine', event: 'released', fingerprint, why: releaseReason })
  }
}
