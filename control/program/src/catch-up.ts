/**
 * Whether this process knows all that was acknowledged before it started. Until then it tells nobody that an endpoint is ready: its own
 * files may lack a leave that a majority of others has stored, and a heartbeat from before the leave may still arrive.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { messageOf } from '@gullwall/core.error'
import { type KnownLease } from '@gullwall/control.registry'
import { type ControlServices } from './index.ts'

/** Delay between two questions to the leader, in ms. */
const RETRY_MS = 50
/** Timeout of one question, in ms: the leader may have been lost. */
const QUESTION_TIMEOUT_MS = 500
/** Interval at which the log is looked at until the entries of the answer are applied, in ms. */
const POLL_MS = 10
/** Heartbeats of the quorum within which an older leader, which tells no index, brings all that it has committed. */
const HEARTBEATS_OF_OLDER_LEADER = 3
/**
 * Without a quorum, endpoints whose heartbeats arrive later than this after the start are told as ready, in ms: longer than a heartbeat
 * from before a leave may take. Entries that start during a long outage of the quorum would have no endpoints otherwise.
 */
const UNCONFIRMED_AFTER_MS = 5000

export class CatchUp {
  private readonly startedAt = performance.now()
  private isDone = false
  private isStopped = false

  constructor (private readonly services: Pick<ControlServices, 'proposer' | 'quorum' | 'registrar' | 'leaseStore' | 'logger'>) {}

  start (): void {
    void this.run()
  }

  stop (): void {
    this.isStopped = true
  }

  /** Whether a lease may be told to others. */
  mayTell ({ state, receivedAt }: Pick<KnownLease, 'state' | 'receivedAt'>): boolean {
    return state !== 'ready' || this.isDone || receivedAt >= this.startedAt + UNCONFIRMED_AFTER_MS
  }

  private async run (): Promise<void> {
    while (!this.isStopped && !this.isDone) {
      const reason = await this.findMissing()
      if (this.isStopped) return
      if (reason === undefined) this.finish()
      else await sleep(RETRY_MS)
    }
  }

  private finish (): void {
    const { leaseStore, registrar, logger } = this.services
    this.isDone = true
    leaseStore.confirmRestored()
    registrar.publishAll()
    const tookMs = Math.round(performance.now() - this.startedAt)
    logger.info({ channel: 'process', event: 'restored', why: `knows all that was acknowledged before its start, ${tookMs} ms after it` })
  }

  /** Returns why this process may lack something that was acknowledged; undefined if it does not. */
  private async findMissing (): Promise<string | undefined> {
    const { proposer, quorum, logger } = this.services
    try {
      const answer = await Promise.race([proposer.confirmRevision(), sleep(QUESTION_TIMEOUT_MS, undefined, { ref: false })])
      if (answer === undefined) return 'the leader does not answer'
      if (answer.index === undefined) await sleep(HEARTBEATS_OF_OLDER_LEADER * quorum.timing.heartbeatMs)
      const { index = 0 } = answer
      for (let waitedMs = 0; quorum.commitIndex < index && !this.isStopped; waitedMs += POLL_MS) {
        if (waitedMs > QUESTION_TIMEOUT_MS) return `${index - quorum.commitIndex} entries are missing`
        await sleep(POLL_MS)
      }
      return undefined
    } catch (error) {
      const reason = messageOf(error)
      logger.debug({ channel: 'process', event: 'restored', why: `not certain yet: ${reason}` })
      return reason
    }
  }
}
