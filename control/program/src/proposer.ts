/** Proposes commands to the replicated log, through the leader of the quorum, and returns their results. */
import { GullwallError } from '@gullwall/core.error'
import { type Applied } from '@gullwall/control.quorum'
import {
  type ApplyCommand, type ApplyResult, type ClaimResult, type Command, type DecideScalingCommand, type DecideUsageCommand,
  type DocumentCommand, type DocumentResult, type EvacuateCommand, type EvacuationResult, type ForgetCrashesCommand,
  type JudgeCrashesCommand, type Leave, type NoteCrashesCommand, type QuarantineResult, type ScalingResult, type UsageDeliveredCommand,
  type UsageReport
} from '@gullwall/control.state'
import { MAX_MESSAGE_BYTES } from '@gullwall/transport.link'
import { type MessageOf } from '@gullwall/transport.messages'
import { targetVoters } from './membership.ts'
import { type ControlServices } from './index.ts'

const FORWARD_TIMEOUT_MS = 3000
/** What a message holds beside a command, in bytes, with room to spare. */
const MESSAGE_OVERHEAD_BYTES = 64 * 1024
/** The largest command that reaches other control processes. A larger one would be sent to them for ever, since links refuse it. */
/** The longest command that can be stored, and so the longest body whose content could be. */
export const MAX_COMMAND_BYTES = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES

export class Proposer {
  private clockBase = 0
  private hadAllVoters = false
  private clockSetAt = performance.now()

  constructor (private readonly services: ControlServices) {}

  /**
   * Proposes an operator's change, which is accepted or refused.
   * @throws ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN, ERR_GULLWALL_LINK_CLOSED
   */
  async applyOperation (command: ApplyCommand): Promise<ApplyResult> {
    return JSON.parse((await this.propose(command)).result) as ApplyResult
  }

  /** Proposes a routing document. */
  async proposeDocument (command: DocumentCommand): Promise<DocumentResult> {
    const result = JSON.parse((await this.propose(command)).result) as DocumentResult
    const event = result.taken ? 'accepted' : 'ignored'
    const why = `document version ${command.version}; version ${result.version} is active`
    this.services.logger.info({ channel: 'configuration', event, revision: this.services.store.revision, why })
    return result
  }

  async claim (message: MessageOf<'claim'>): Promise<MessageOf<'claimed'>> {
    const { key, requestId, holdMs } = message
    if (!this.leadsHere) return await this.forward(message, 'claimed')
    const applied = await this.propose({ type: 'claim', key, requestId, holdMs, now: this.nextLogTime() })
    return { kind: 'claimed', ...JSON.parse(applied.result) as ClaimResult }
  }

  async settle (message: MessageOf<'settle'>): Promise<MessageOf<'done'>> {
    const { key, requestId, outcome } = message
    await this.propose({ type: 'settle', key, requestId, outcome })
    return { kind: 'done' }
  }

  /** Proposes to evacuate a data centre or to withdraw an evacuation. */
  async evacuate (command: EvacuateCommand): Promise<EvacuationResult> {
    return JSON.parse((await this.propose(command)).result) as EvacuationResult
  }

  /** Proposes the usage report of a window. Returns the report that was decided, which may be an earlier one. */
  async decideUsage (command: DecideUsageCommand): Promise<UsageReport> {
    return JSON.parse((await this.propose(command)).result) as UsageReport
  }

  async recordUsageDelivered (command: UsageDeliveredCommand): Promise<void> {
    await this.propose(command)
  }

  /** Proposes a number of endpoints. Returns the order that was decided, which may be another one. */
  async decideScaling (command: DecideScalingCommand): Promise<ScalingResult> {
    return JSON.parse((await this.propose(command)).result) as ScalingResult
  }

  /** Proposes to record, evaluate or remove crashes of endpoints. Returns the requests that are quarantined or released as a result. */
  async applyQuarantineCommand (command: NoteCrashesCommand | JudgeCrashesCommand | ForgetCrashesCommand): Promise<QuarantineResult> {
    return JSON.parse((await this.propose(command)).result) as QuarantineResult
  }

  /** Returns a revision that is at least as new as every revision accepted before the call. */
  async confirmRevision (): Promise<MessageOf<'confirmed'>> {
    const { quorum, store } = this.services
    if (!this.leadsHere) return await this.forward({ kind: 'confirm' }, 'confirmed')
    const index = await quorum.confirmRead()
    return { kind: 'confirmed', revision: store.revision, index }
  }

  /** Proposes to remember that endpoints leave. A majority has them on its disks once this resolves. */
  async recordLeaves (leaves: Leave[]): Promise<void> {
    await this.propose({ type: 'note-crashes', crashes: [], ranWell: [], leaves })
  }

  /** Forwards the grant requests of an entry to the leader, the only process that grants. */
  async requestGrants (message: MessageOf<'coldAsk'>): Promise<MessageOf<'coldGranted'>> {
    return await this.forward(message, 'coldGranted')
  }

  /** Proposes a command that a peer has forwarded. */
  async proposeLocally (data: string): Promise<Applied> {
    assertSize(data)
    this.assertTolerance()
    return await this.services.quorum.propose(data)
  }

  /** Rejects commands while the quorum has too few voters for the intended fault tolerance. */
  private assertTolerance (): void {
    const { settings, quorum } = this.services
    const voters = Object.keys(quorum.membership.voters).length
    const required = targetVoters(settings) ?? 0
    if (voters > required / 2 && voters >= this.findMinVoters(required)) return
    throw new GullwallError('ERR_GULLWALL_NO_QUORUM', `${voters} of ${required} voters have joined`, {
      step: 'propose', hint: 'wait until the other control processes have joined'
    })
  }

  /** Returns the required number of voters. Once all voters have joined, one may be missing while it is replaced. */
  private findMinVoters (required: number): number {
    const { quorum } = this.services
    if (Object.keys(quorum.membership.voters).length >= required) this.hadAllVoters = true
    return this.hadAllVoters ? required - 1 : required
  }

  private get leadsHere (): boolean {
    return this.services.quorum.role === 'leader'
  }

  private async propose (command: Command): Promise<Applied> {
    const data = JSON.stringify(command)
    assertSize(data)
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

  /** Returns the next log time. It advances from the latest command by the monotonic clock and does not depend on the wall clock. */
  private nextLogTime (): number {
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

/** @throws ERR_GULLWALL_TOO_LARGE */
function assertSize (data: string): void {
  const bytes = Buffer.byteLength(data)
  if (bytes <= MAX_COMMAND_BYTES) return
  throw new GullwallError('ERR_GULLWALL_TOO_LARGE', `the change takes ${bytes} bytes in the log; at most ${MAX_COMMAND_BYTES} can be stored`, {
    step: 'propose', hint: 'split it, or make the document smaller'
  })
}
