/**
 * The addresses of control processes, and which of them are dialled no more. Processes that are replaced leave theirs behind:
 * each would be dialled about twice a second for ever, and count as one that can't be reached.
 */

/** An address that is not linked and that nobody names is forgotten after this time, in ms: well above a restart. */
const FORGET_MS = 30_000

export class ControlAddresses {
  private seeds: ReadonlySet<string> = new Set()
  private readonly namedAt = new Map<string, number>()

  /** Takes the addresses of the settings in force; those of earlier settings are kept as long as others name them. */
  setSeeds (addresses: readonly string[], now: number): void {
    this.seeds = new Set(addresses)
    this.recordAnnounced(addresses, now)
  }

  /** Takes the addresses that a control process has named. */
  recordAnnounced (addresses: readonly string[], now: number): void {
    for (const address of addresses) this.namedAt.set(address, now)
  }

  /** Forgets addresses, and gives them; those that are linked are kept. */
  removeExpired (linked: readonly string[], now: number): string[] {
    this.recordAnnounced(linked, now)
    const isOver = ([address, at]: [string, number]) => !this.seeds.has(address) && now - at > FORGET_MS
    const forgotten = [...this.namedAt].filter(isOver).map(([address]) => address)
    for (const address of forgotten) this.namedAt.delete(address)
    return forgotten
  }
}
