/** Brings commands to the leader, wherever it is, and gives their results. */
import { GullwallError } from '@gullwall/core.error'
import { type Applied } from '@gullwall/control.quorum'
import {
  type ApplyCommand, type ApplyResult, type ClaimResult, type Command, type DecideScalingCommand, type DecideUsageCommand,
  type DocumentCommand, type DocumentResult, type EvacuateCommand, type EvacuationResult, type ForgetCrashesCommand,
  type JudgeCrashesCommand, type NoteCrashesCommand, type QuarantineResult, type ScalingResult, type UsageDeliveredCommand,
  type UsageReport
} from '@gullwall/control.state'
import { type MessageOf } from '@gullwall/transport.messages'
import { targetVoters } from './membership.ts'
import { type ControlServices } from './index.ts'

const FORWARD_TIMEOUT_MS = 3000

export class Proposer {
  private clockBase = 0
  private wasComplete = false
  private clockSetAt = performance.now()

  constructor (private readonly services: ControlServices) {}

  /**
   * Has an operator's change accepted or refused.
   * @throws ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN, ERR_GULLWALL_LINK_CLOSED
   */
  async applyOperation (command: ApplyCommand): Promise<ApplyResult> {
    return JSON.parse((await this.propose(command)).result) as ApplyResult
  }

  /** Brings a routing document. */
  async proposeDocument (command: DocumentCommand): Promise<DocumentResult> {
    const result = JSON.parse((await this.propose(command)).result) as DocumentResult
    const event = result.taken ? 'accepted' : 'ignored'
    const why = `document version ${command.version}; ${result.version} holds`
    this.services.logger.info({ channel: 'configuration', event, revision: this.services.store.revision, why })
    return result
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

  /** Brings an order to evacuate a data centre, or to withdraw that. */
  async evacuate (command: EvacuateCommand): Promise<EvacuationResult> {
    return JSON.parse((await this.propose(command)).result) as EvacuationResult
  }

  /** Has the report of a window decided; gives the one that holds. */
  async decideUsage (command: DecideUsageCommand): Promise<UsageReport> {
    return JSON.parse((await this.propose(command)).result) as UsageReport
  }

  async recordUsageDelivered (command: UsageDeliveredCommand): Promise<void> {
    await this.propose(command)
  }

  /** Has an order of endpoints decided; gives the one that holds. */
  async decideScaling (command: DecideScalingCommand): Promise<ScalingResult> {
    return JSON.parse((await this.propose(command)).result) as ScalingResult
  }

  /** Brings what is known of crashed endpoints, or has it judged or forgotten; gives the requests that are held or let go by it. */
  async applyQuarantineCommand (command: NoteCrashesCommand | JudgeCrashesCommand | ForgetCrashesCommand): Promise<QuarantineResult> {
    return JSON.parse((await this.propose(command)).result) as QuarantineResult
  }

  /** Gives a revision that is not older than any accepted before the call. */
  async confirmRevision (): Promise<MessageOf<'confirmed'>> {
    const { quorum, store } = this.services
    if (!this.leadsHere) return await this.forward({ kind: 'confirm' }, 'confirmed')
    await quorum.confirmRead()
    return { kind: 'confirmed', revision: store.revision }
  }

  /** Passes an entry's wishes for cold endpoints to the leader, which alone grants. */
  async requestGrants (message: MessageOf<'coldAsk'>): Promise<MessageOf<'coldGranted'>> {
    return await this.forward(message, 'coldGranted')
  }

  /** Takes a command that a peer has forwarded. */
  async proposeLocally (data: string): Promise<Applied> {
    this.assertTolerance()
    return await this.services.quorum.propose(data)
  }

  /** A quorum that is still being formed could not bear the losses that it is meant to bear. */
  private assertTolerance (): void {
    const { settings, quorum } = this.services
    const voters = Object.keys(quorum.membership.voters).length
    const wanted = targetVoters(settings) ?? 0
    if (voters > wanted / 2 && voters >= this.leastVoters(wanted)) return
    throw new GullwallError('ERR_GULLWALL_NO_QUORUM', `${voters} voters of ${wanted}`, {
      step: 'propose', hint: 'wait until the other control processes have joined'
    })
  }

  /** Once all voters had joined, one may be missing while it is replaced. */
  private leastVoters (wanted: number): number {
    const { quorum } = this.services
    if (Object.keys(quorum.membership.voters).length >= wanted) this.wasComplete = true
    return this.wasComplete ? wanted - 1 : wanted
  }

  private get leadsHere (): boolean {
    return this.services.quorum.role === 'leader'
  }

  private async propose (command: Command): Promise<Applied> {
    const data = JSON.stringify(command)
    if (this.leadsHere) return await this.proposeLocally(data)
    const { index, result } = await this.forward({ kind: 'propose', data }, 'proposed')
    return { index, result }
  }

  private async forward<Kind extends 'claimed' | 'confirmed' | 'proposed' | 'coldGranted'> (
    message: MessageOf<'claim'> | MessageOf<'confirm'> | MessageOf<'propose'> | MessageOf<'coldAsk'>, expected: Kind
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
