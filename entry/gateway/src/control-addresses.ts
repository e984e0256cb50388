/**
 * The addresses of control processes, and their expiry. A control process that is replaced leaves its address behind. Without
 * expiry, that address would be dialled about twice a second forever and would count as an unreachable control process.
 */

/** An address that is neither linked nor announced expires after this time, in ms: well above the time of a restart. */
const EXPIRY_MS = 30_000

export class ControlAddresses {
  private seeds: ReadonlySet<string> = new Set()
  private readonly announcedAt = new Map<string, number>()

  /** Replaces the addresses from the settings. Addresses from earlier settings expire unless they are still announced or linked. */
  setSeeds (addresses: readonly string[], now: number): void {
    this.seeds = new Set(addresses)
    this.recordAnnounced(addresses, now)
  }

  /** Number of addresses that have not expired. */
  get size (): number {
    return this.announcedAt.size
  }

  /** Records the addresses that a control process has announced. */
  recordAnnounced (addresses: readonly string[], now: number): void {
    for (const address of addresses) this.announcedAt.set(address, now)
  }

  /** Removes and returns the addresses that have expired; linked addresses do not expire. */
  removeExpired (linked: readonly string[], now: number): string[] {
    this.recordAnnounced(linked, now)
    const isExpired = ([address, at]: [string, number]) => !this.seeds.has(address) && now - at > EXPIRY_MS
    const expired = [...this.announcedAt].filter(isExpired).map(([address]) => address)
    for (const address of expired) this.announcedAt.delete(address)
    return expired
  }
}
