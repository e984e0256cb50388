/** Brings commands to the leader, wherever it is, and gives their results. */
import { GullwallError } from '@gullwall/core.error'
import { type Applied } from '@gullwall/control.quorum'
import { type ApplyCommand, type ApplyResult, type ClaimResult, type Command } from '@gullwall/control.state'
import { type MessageOf } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'

const FORWARD_TIMEOUT_MS = 3000

export class Proposer {
  private clockBase = 0
  private clockSetAt = performance.now()

  constructor (private readonly services: ControlServices) {}

  /**
   * Has an operator's change accepted or refused.
   * @throws ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN, ERR_GULLWALL_LINK_CLOSED
   */
  async apply (command: ApplyCommand): Promise<ApplyResult> {
    return JSON.parse((await this.propose(command)).result) as ApplyResult
  }

  async claim (message: MessageOf<'claim'>): Promise<MessageOf<'claimed'>> {
    const { key, requestId, holdMs } = message
    if (!this.leadsHere) return await this.forward(message, 'claimed')
    const applied = await this.propose({ type: 'claim', key, requestId, holdMs, now: this.logTime() })
    return { kind: 'claimed', ...JSON.parse(applied.result) as ClaimResult }
  }

  async settle (message: MessageOf<'settle'>): Promise<MessageOf<'done'>> {
    const { key, requestId, outcome } = message
    await this.propose({ type: 'settle', key, requestId, outcome })
    return { kind: 'done' }
  }

  /** Gives a revision that is not older than any accepted before the call. */
  async confirm (): Promise<MessageOf<'confirmed'>> {
    const { quorum, store } = this.services
    if (!this.leadsHere) return await this.forward({ kind: 'confirm' }, 'confirmed')
    await quorum.confirmRead()
    return { kind: 'confirmed', revision: store.revision }
  }

  /** Takes a command that a peer has forwarded. */
  async proposeHere (data: string): Promise<Applied> {
    return await this.services.quorum.propose(data)
  }

  private get leadsHere (): boolean {
    return this.services.quorum.role === 'leader'
  }

  private async propose (command: Command): Promise<Applied> {
    const data = JSON.stringify(command)
    if (this.leadsHere) return await this.services.quorum.propose(data)
    const { index, result } = await this.forward({ kind: 'propose', data }, 'proposed')
    return { index, result }
  }

  private async forward<Kind extends 'claimed' | 'confirmed' | 'proposed'> (
    message: MessageOf<'claim'> | MessageOf<'confirm'> | MessageOf<'propose'>, expected: Kind
  ): Promise<MessageOf<Kind>> {
    const { quorum, peers } = this.services
    const leader = quorum.leaderName
    const address = leader === undefined ? undefined : quorum.membership.voters[leader]?.address
    if (address === undefined) {
      throw new GullwallError('ERR_GULLWALL_NO_QUORUM', 'no leader is known', {
        step: message.kind, hint: 'a majority of the control processes must be up and linked'
      })
    }
    return await peers.call(address, message, expected, FORWARD_TIMEOUT_MS)
  }

  /** Time of the log: goes on from the latest command by the monotonic clock, whatever the wall clock does. */
  private logTime (): number {
    const now = performance.now()
    const latest = this.services.state.claims.time
    const time = Math.max(latest, Math.floor(this.clockBase + now - this.clockSetAt))
    if (time === latest) {
      this.clockBase = latest
      this.clockSetAt = now
    }
    return time
  }
}
