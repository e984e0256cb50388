/**
 * What control processes keep of the counts of entries. A source is one start of an entry; its counts are totals that only
 * grow, so that words that come twice, late or through two control processes are merged by the greater.
 */
import { type UsageCount, type UsageSource, type UsageWindow } from '@gullwall/transport.messages'

/** Windows older than so many are forgotten; by then their reports were due. */
const KEPT_WINDOWS = 8

type Counts = Map<string, number>

/** What one source has told of one window. */
export interface SourceWindow extends UsageSource {
  window: number
}

export class UsageTable {
  private readonly windows = new Map<number, Map<string, Counts>>()

  /** Takes counts of a source. */
  merge (source: string, told: readonly UsageWindow[]): void {
    for (const { window, counts } of told) this.mergeWindow(source, window, counts)
    this.forgetOld()
  }

  /** What is kept of one window, by source. */
  sourcesOf (window: number): UsageSource[] {
    return [...this.windows.get(window) ?? []].map(([source, counts]) => ({
      source, counts: [...counts].map(([organisation, begun]) => ({ organisation, begun }))
    }))
  }

  /** The sums over all sources of one window, in the order of the organisations' names. */
  totalOf (window: number): UsageCount[] {
    const totals = new Map<string, number>()
    for (const counts of this.windows.get(window)?.values() ?? []) {
      for (const [organisation, begun] of counts) totals.set(organisation, (totals.get(organisation) ?? 0) + begun)
    }
    return [...totals].map(([organisation, begun]) => ({ organisation, begun }))
      .sort((left, right) => left.organisation < right.organisation ? -1 : 1)
  }

  /** What some of the sources have told of the newest windows. */
  newest (windows: number, isMeant: (source: string) => boolean): SourceWindow[] {
    const newest = [...this.windows.keys()].sort((left, right) => right - left).slice(0, windows)
    return newest.flatMap((window) => this.sourcesOf(window).filter(({ source }) => isMeant(source)).map((told) => ({ ...told, window })))
  }

  private mergeWindow (source: string, window: number, told: readonly UsageCount[]): void {
    const sources = this.windows.get(window) ?? new Map<string, Counts>()
    this.windows.set(window, sources)
    const counts = sources.get(source) ?? new Map<string, number>()
    sources.set(source, counts)
    for (const { organisation, begun } of told) counts.set(organisation, Math.max(begun, counts.get(organisation) ?? 0))
  }

  private forgetOld (): void {
    const oldest = Math.max(...this.windows.keys()) - KEPT_WINDOWS
    for (const window of this.windows.keys()) if (window <= oldest) this.windows.delete(window)
  }
}
