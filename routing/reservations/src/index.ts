/**
 * The demand that entries report to a sidecar: for each entry a summary of its waiting requests. The book assigns each free slot
 * of an endpoint to an entry and a class: first to a class that is entitled to its floor, then to the highest tier, and among
 * entries in proportion to the number of organisations whose requests wait there.
 */
import { type Tier } from '@gullwall/core.types'
import { type DemandRow } from '@gullwall/transport.messages'

/** The entry and class to which a free slot is offered. */
export interface SlotAssignment {
  entry: string
  class: string
  tier: Tier
  /** Whether the class receives the slot for its floor, ahead of higher tiers. */
  floor: boolean
}

/** The maximum floor credit of a class, in slots, so that a long wait is not followed by a burst. */
const MAX_FLOOR_CREDIT = 2

export class ReservationBook {
  /** The summaries by entry. */
  private readonly demands = new Map<string, DemandRow[]>()
  /** The floor credits by class, in slots. */
  private readonly credits = new Map<string, number>()
  /** The virtual times of stride scheduling, by entry. */
  private readonly virtualTimes = new Map<string, number>()

  /** Replaces the summary of an entry. */
  updateDemand (entry: string, rows: DemandRow[]): void {
    if (rows.length === 0) this.demands.delete(entry)
    else this.demands.set(entry, rows.map((row) => ({ ...row })))
  }

  /** Removes an entry whose link has closed. */
  removeEntry (entry: string): void {
    this.demands.delete(entry)
    this.virtualTimes.delete(entry)
  }

  /** Returns the highest tier that waits for an endpoint, or undefined if no request waits for it. */
  findHighestTier (endpoint: string): Tier | undefined {
    let highest: Tier | undefined
    for (const { row } of this.findWaiting(endpoint)) {
      if (highest === undefined || row.tier < highest) highest = row.tier
    }
    return highest
  }

  /** Assigns one free slot of an endpoint and subtracts one request from the chosen summary; undefined if no request waits for it. */
  assignSlot (endpoint: string): SlotAssignment | undefined {
    const waiting = [...this.findWaiting(endpoint)]
    if (waiting.length === 0) return undefined
    this.accrueCredits(waiting)
    const entitledClass = this.findEntitledClass(waiting)
    const chosenTier = entitledClass ?? findHighestWaitingTier(waiting)
    const candidates = waiting.filter(({ row }) => entitledClass === undefined ? row.tier === chosenTier : row.class === entitledClass)
    const chosen = this.scheduleEntry(candidates)
    if (chosen === undefined) return undefined
    chosen.row.count -= 1
    this.credits.set(chosen.row.class, Math.max(0, (this.credits.get(chosen.row.class) ?? 0) - 1))
    return { entry: chosen.entry, class: chosen.row.class, tier: chosen.row.tier, floor: entitledClass !== undefined }
  }

  private * findWaiting (endpoint: string): Generator<WaitingRow> {
    for (const [entry, rows] of this.demands) {
      for (const row of rows) {
        const canServe = row.endpoints.length === 0 || row.endpoints.includes(endpoint)
        if (row.count > 0 && canServe) yield { entry, row }
      }
    }
  }

  /** Credits every waiting class with its floor, a fraction of the slot that is assigned, and drops the credits of other classes. */
  private accrueCredits (waiting: readonly WaitingRow[]): void {
    const floors = new Map(waiting.map(({ row }) => [row.class, row.floor]))
    for (const [name, floor] of floors) {
      this.credits.set(name, Math.min(MAX_FLOOR_CREDIT, (this.credits.get(name) ?? 0) + floor))
    }
    for (const name of this.credits.keys()) {
      if (!floors.has(name)) this.credits.delete(name)
    }
  }

  /** Returns the class with the highest floor credit of at least one slot. */
  private findEntitledClass (waiting: readonly WaitingRow[]): string | undefined {
    let entitled: string | undefined
    for (const { row } of waiting) {
      const credit = this.credits.get(row.class) ?? 0
      if (credit >= 1 && credit > (entitled === undefined ? 0 : this.credits.get(entitled) ?? 0)) entitled = row.class
    }
    return entitled
  }

  /** Chooses an entry by stride scheduling: each slot advances its virtual time by the inverse of its number of organisations. */
  private scheduleEntry (candidates: readonly WaitingRow[]): WaitingRow | undefined {
    let best: WaitingRow | undefined
    for (const candidate of candidates) {
      if (best === undefined || this.getVirtualTime(candidate) < this.getVirtualTime(best)) best = candidate
    }
    if (best === undefined) return undefined
    const start = this.getVirtualTime(best)
    for (const { entry } of candidates) {
      this.virtualTimes.set(entry, Math.max(this.virtualTimes.get(entry) ?? start, start))
    }
    this.virtualTimes.set(best.entry, start + 1 / Math.max(1, best.row.organisations))
    return best
  }

  private getVirtualTime (candidate: WaitingRow): number {
    return this.virtualTimes.get(candidate.entry) ?? 0
  }
}

interface WaitingRow {
  entry: string
  row: DemandRow
}

function findHighestWaitingTier (waiting: readonly WaitingRow[]): Tier {
  return waiting.reduce((highest, { row }) => Math.min(highest, row.tier), Infinity)
}
