/** When a member that hears from no leader stands for election: after a random time, sooner while nobody has led yet. */
import { type QuorumTiming } from './types.ts'

export class ElectionTimer {
  private timer: NodeJS.Timeout | undefined
  /** Whether a leader or an election with effect has been seen since the start. */
  private hasSettled = false

  constructor (private readonly timing: QuorumTiming, private readonly onDue: () => void) {}

  /** From now on elections come at their usual pace. */
  settle (): void {
    this.hasSettled = true
  }

  /** Starts the wait anew. */
  arm (): void {
    this.stop()
    const share = this.hasSettled ? 1 : this.timing.firstElectionShare
    this.timer = setTimeout(this.onDue, share * this.timing.electionMs * (1 + Math.random()))
  }

  stop (): void {
    clearTimeout(this.timer)
  }
}
