/**
 * The reservations a sidecar holds: for each entry a standing summary of the
 * work that waits there. When an endpoint has a free slot, the book picks the
 * entry and class to offer it to: a class owed its floor first, then the
 * highest tier, then entries in proportion to the organisations they speak for.
 */
import { type Tier } from '@gullwall/core.types'
import { type DemandRow } from '@gullwall/transport.messages'

/** Whom a free slot is offered to. */
export interface SlotAssignment {
  entry: string
  class: string
  tier: Tier
  /** The class gets the slot for its floor, ahead of higher tiers. */
  floor: boolean
}

/** The most floor grants a class may be owed, so that a long wait does not turn into a burst. */
const MAX_FLOOR_CREDIT = 2

export class ReservationBook {
  private readonly demands = new Map<string, DemandRow[]>()
  private readonly credits = new Map<string, number>()
  private readonly passes = new Map<string, number>()

  /** Replaces what an entry waits for. */
  updateDemand (entry: string, rows: DemandRow[]): void {
    if (rows.length === 0) this.demands.delete(entry)
    else this.demands.set(entry, rows.map((row) => ({ ...row })))
  }

  /** Forgets an entry whose link has closed. */
  removeEntry (entry: string): void {
    this.demands.delete(entry)
    this.passes.delete(entry)
  }

  /** The highest tier that waits for an endpoint, or undefined if none does. */
  findHighestTier (endpoint: string): Tier | undefined {
    let highest: Tier | undefined
    for (const { row } of this.waitingFor(endpoint)) {
      if (highest === undefined || row.tier < highest) highest = row.tier
    }
    return highest
  }

  /** Picks for one free slot of an endpoint and takes one request off the summary it picked from. */
  assignSlot (endpoint: string): SlotAssignment | undefined {
    const waiting = [...this.waitingFor(endpoint)]
    if (waiting.length === 0) return undefined
    this.accrue(waiting)
    const owed = this.mostOwed(waiting)
    const chosenTier = owed ?? highestOf(waiting)
    const candidates = waiting.filter(({ row }) => owed === undefined ? row.tier === chosenTier : row.class === owed)
    const chosen = this.nextEntry(candidates)
    if (chosen === undefined) return undefined
    chosen.row.count -= 1
    this.credits.set(chosen.row.class, Math.max(0, (this.credits.get(chosen.row.class) ?? 0) - 1))
    return { entry: chosen.entry, class: chosen.row.class, tier: chosen.row.tier, floor: owed !== undefined }
  }

  private * waitingFor (endpoint: string): Generator<Waiting> {
    for (const [entry, rows] of this.demands) {
      for (const row of rows) {
        const mayServe = row.endpoints.length === 0 || row.endpoints.includes(endpoint)
        if (row.count > 0 && mayServe) yield { entry, row }
      }
    }
  }

  /** Each grant earns every waiting class its floor's share of a grant. */
  private accrue (waiting: readonly Waiting[]): void {
    const floors = new Map(waiting.map(({ row }) => [row.class, row.floor]))
    for (const [name, floor] of floors) {
      this.credits.set(name, Math.min(MAX_FLOOR_CREDIT, (this.credits.get(name) ?? 0) + floor))
    }
    for (const name of this.credits.keys()) {
      if (!floors.has(name)) this.credits.delete(name)
    }
  }

  private mostOwed (waiting: readonly Waiting[]): string | undefined {
    let owed: string | undefined
    for (const { row } of waiting) {
      const credit = this.credits.get(row.class) ?? 0
      if (credit >= 1 && credit > (owed === undefined ? 0 : this.credits.get(owed) ?? 0)) owed = row.class
    }
    return owed
  }

  /** Stride scheduling: each pick costs an entry the inverse of the organisations it speaks for. */
  private nextEntry (candidates: readonly Waiting[]): Waiting | undefined {
    let best: Waiting | undefined
    for (const candidate of candidates) {
      if (best === undefined || this.passOf(candidate) < this.passOf(best)) best = candidate
    }
    if (best === undefined) return undefined
    const start = this.passOf(best)
    for (const { entry } of candidates) {
      this.passes.set(entry, Math.max(this.passes.get(entry) ?? start, start))
    }
    this.passes.set(best.entry, start + 1 / Math.max(1, best.row.organisations))
    return best
  }

  private passOf (candidate: Waiting): number {
    return this.passes.get(candidate.entry) ?? 0
  }
}

interface Waiting {
  entry: string
  row: DemandRow
}

function highestOf (waiting: readonly Waiting[]): Tier {
  return waiting.reduce((highest, { row }) => Math.min(highest, row.tier), Infinity)
}
