/**
 * Brings what entries saw of crashed endpoints into the replicated state. The leader of the quorum has it judged, and
 * forgotten after a time that it counts itself: a new leader counts from its start, so that nothing is forgotten too soon.
 */
import { messageOf } from '@gullwall/core.error'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { type ForgetCrashesCommand, type QuarantineResult } from '@gullwall/control.state'
import { type MessageOf } from '@gullwall/transport.messages'
import { AgeTracker } from './age-tracker.ts'
import { type ControlServices } from './index.ts'

/** How often the leader looks whether there is something to judge or to forget, in ms. */
const LOOK_MS = 50
/**
 * A crash is judged so long after the first word of it, in ms: entries tell within 20 ms and a round trip, and who tells first
 * must not decide; meanwhile a request that is repeated at once ends further engines.
 */
const SETTLE_MS = 150
/** A crash is forgotten after this time, in ms: callers that repeat a request by hand do so within minutes. */
const CRASH_KEPT_MS = 10 * 60_000
/** A request is held for so long, in ms. Then it may run again, and one crash holds it anew: one engine in half an hour at most. */
const HELD_MS = 30 * 60_000

export interface CrashEvaluatorOptions {
  crashRetentionMs?: number
  quarantineMs?: number
  now?: () => number
}

export class CrashEvaluator {
  private readonly crashAges = new AgeTracker<string>()
  private readonly heldAges = new AgeTracker<string>()
  private readonly now: () => number
  private unjudgedSince: number | undefined
  private isBusy = false
  private timer: NodeJS.Timeout | undefined

  constructor (
    private readonly services: Pick<ControlServices, 'state' | 'quorum' | 'proposer' | 'logger'>,
    private readonly options: CrashEvaluatorOptions = {}
  ) {
    this.now = options.now ?? (() => performance.now())
  }

  start (): void {
    this.timer = setInterval(() => { void this.runDueCommands() }, LOOK_MS)
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
   * Takes what an entry saw; durable once this resolves.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN; the same may be told again
   */
  async recordCrashes ({ crashes, ranWell }: MessageOf<'crashes'>): Promise<MessageOf<'done'>> {
    const result = await this.services.proposer.applyQuarantineCommand({ type: 'note-crashes', crashes, ranWell })
    this.log(result, 'it has run well')
    return { kind: 'done' }
  }

  /** Judges and forgets what is due, if this process leads. */
  async runDueCommands (): Promise<void> {
    if (this.services.quorum.role !== 'leader') {
      this.unjudgedSince = undefined
      this.crashAges.reset()
      this.heldAges.reset()
      return
    }
    if (this.isBusy) return
    this.isBusy = true
    try {
      await this.judgeIfDue()
      await this.forgetIfDue()
    } catch (error) {
      this.services.logger.warn({ channel: 'quarantine', event: 'postponed', fingerprint: '', why: messageOf(error) })
    } finally {
      this.isBusy = false
    }
  }

  private async judgeIfDue (): Promise<void> {
    const { evidence } = this.services.state.quarantine
    if (evidence.isEvaluated) {
      this.unjudgedSince = undefined
      return
    }
    const now = this.now()
    this.unjudgedSince ??= now
    if (now - this.unjudgedSince < SETTLE_MS) return
    this.unjudgedSince = undefined
    this.log(await this.services.proposer.applyQuarantineCommand({ type: 'judge-crashes' }), 'too many are held')
  }

  private async forgetIfDue (): Promise<void> {
    const { evidence } = this.services.state.quarantine
    const { crashRetentionMs = CRASH_KEPT_MS, quarantineMs = HELD_MS } = this.options
    const now = this.now()
    const due: ForgetCrashesCommand = {
      type: 'forget-crashes',
      endpoints: this.crashAges.findOlderThan(crashRetentionMs, evidence.endpoints, now),
      requests: this.heldAges.findOlderThan(quarantineMs, evidence.quarantined, now)
    }
    if (due.endpoints.length + due.requests.length === 0) return
    this.log(await this.services.proposer.applyQuarantineCommand(due), 'its time has passed; one more crash holds it again')
  }

  private log ({ held, released }: QuarantineResult, whyReleased: string): void {
    const { logger, state: { quarantine: { evidence } } } = this.services
    for (const fingerprint of held) {
      const why = `${evidence.countCrashes(fingerprint)} endpoints crashed while it was running there, and nothing else explains that`
      logger.warn({ channel: 'quarantine', event: 'held', fingerprint, why })
    }
    for (const fingerprint of released) logger.info({ channel: 'quarantine', event: 'released', fingerprint, why: whyReleased })
  }
}
