/** Claims on the keys of requests that must run at most once. */
import { type ClaimCommand, type ClaimResult, type SettleCommand } from './commands.ts'

interface Claim {
  requestId: string
  outcome: string
  expiresAt: number
}

/** A claim's outcome while its request is under way. */
const UNDER_WAY = 'unknown'

export class Claims {
  private readonly claims = new Map<string, Claim>()
  /** Time of the log: moves with the commands only, never back. */
  private now = 0

  get size (): number {
    return this.claims.size
  }

  get time (): number {
    return this.now
  }

  claim (command: ClaimCommand): ClaimResult {
    this.now = Math.max(this.now, command.now)
    this.expire()
    const known = this.claims.get(command.key)
    if (known !== undefined && known.requestId !== command.requestId) {
      return { granted: false, holder: known.requestId, outcome: known.outcome }
    }
    if (known === undefined) {
      this.claims.set(command.key, { requestId: command.requestId, outcome: UNDER_WAY, expiresAt: this.now + command.holdMs })
    }
    return { granted: true, holder: command.requestId, outcome: known?.outcome ?? UNDER_WAY }
  }

  /** A request that certainly was not run gives its key free again. */
  settle (command: SettleCommand): void {
    const known = this.claims.get(command.key)
    if (known?.requestId !== command.requestId) return
    if (command.outcome === 'no') this.claims.delete(command.key)
    else known.outcome = command.outcome
  }

  dump (): object {
    return { now: this.now, claims: [...this.claims] }
  }

  restore (dump: object): void {
    const { now, claims } = dump as { now: number, claims: Array<[string, Claim]> }
    this.now = now
    this.claims.clear()
    for (const [key, claim] of claims) this.claims.set(key, claim)
  }

  /** Claims of one duration expire in the order they were made, so a look at the first ones is enough. */
  private expire (): void {
    for (const [key, claim] of this.claims) {
      if (claim.expiresAt > this.now) return
      this.claims.delete(key)
    }
  }
}
