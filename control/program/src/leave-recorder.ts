/**
 * Has the leaves of endpoints stored by a majority of control processes before they are acknowledged. A leave is an entry of the replicated
 * log: one record of some 200 bytes at each member, whose sync it shares with all entries of that moment.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { type Leave } from '@gullwall/control.state'
import { type Lease } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'

/** Timeout of the confirmation, in ms. It is shorter than the second that an endpoint waits for the response. */
const CONFIRM_TIMEOUT_MS = 800
/** Delay before a leave is proposed again, in ms: the leader may just be changing. */
const RETRY_MS = 50

export class LeaveRecorder {
  /** Leaves that wait for a majority. */
  private waiting = 0
  /** Leaves that no majority has stored in time. */
  private failures = 0

  constructor (private readonly services: Pick<ControlServices, 'proposer' | 'state' | 'logger'>) {}

  /**
   * Resolves once a majority has the state of an endpoint on its disks.
   * @throws ERR_GULLWALL_NO_QUORUM if that takes too long; it may still come to be stored
   */
  async record ({ incarnation, state, life }: Lease): Promise<void> {
    if (state === 'ready' || this.isStored(incarnation, state)) return
    const leave: Leave = { incarnation, state, hasLife: life !== undefined, at: Date.now() }
    this.waiting += 1
    try {
      await this.propose(leave)
    } catch (error) {
      this.failures += 1
      this.services.logger.sampled('leave not stored', { channel: 'endpoint', event: 'refused', endpoint: incarnation, why: messageOf(error) })
      throw error
    } finally {
      this.waiting -= 1
    }
  }

  /** Adds the metrics of this process to a registry. */
  addMetrics (registry: Registry): void {
    const add = (name: string, help: string, value: () => number) => {
      const metric = gauge(registry, name, help)
      Object.assign(metric, { collect: () => metric.set(value()) })
    }
    add('gullwall_leaves_waiting', 'Leaves of endpoints that wait until a majority has stored them', () => this.waiting)
    add('gullwall_leaves_failed_total', 'Leaves of endpoints that no majority has stored in time', () => this.failures)
    add('gullwall_leaves_known', 'Endpoints that are remembered to leave', () => this.services.state.leaves.size)
  }

  private isStored (incarnation: string, state: Leave['state']): boolean {
    return this.services.state.leaves.has(incarnation, state)
  }

  private async propose (leave: Leave): Promise<void> {
    const deadline = performance.now() + CONFIRM_TIMEOUT_MS
    let reason = 'no majority of control processes stored the state in time'
    for (let leftMs = CONFIRM_TIMEOUT_MS; leftMs > 0; leftMs = deadline - performance.now()) {
      const outcome = await Promise.race([this.tryPropose(leave), sleep(leftMs, reason, { ref: false })])
      // Another process may have proposed it meanwhile, and a proposal of unknown outcome may have been accepted.
      if (outcome === undefined || this.isStored(leave.incarnation, leave.state)) return
      reason = outcome
      await sleep(RETRY_MS)
    }
    throw new GullwallError('ERR_GULLWALL_NO_QUORUM', reason, { step: 'leave', peer: leave.incarnation })
  }

  /** Returns why the leave was not accepted; undefined if it was. */
  private async tryPropose (leave: Leave): Promise<string | undefined> {
    try {
      await this.services.proposer.recordLeaves([leave])
      return undefined
    } catch (error) {
      return messageOf(error)
    }
  }
}
