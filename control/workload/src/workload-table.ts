/**
 * What several sources have under way at each endpoint. A source is an entry, or a control process that tells the sum of
 * its entries. Sums are taken anew from the sources' own words whenever they are asked for, so that they can't drift.
 */
import { type MemoryUse, type UnreadTokens, type LoadSummary } from '@gullwall/transport.messages'

export class WorkloadTable<Source> {
  private readonly bySource = new Map<Source, Map<string, LoadSummary>>()
  private readonly byEndpoint = new Map<string, Map<Source, LoadSummary>>()

  /** Puts a source's whole word in place of what it told before; gives the endpoints at which it has changed. */
  replace (source: Source, works: readonly LoadSummary[]): string[] {
    const told = new Set(works.map(({ incarnation }) => incarnation))
    const missing = [...this.bySource.get(source)?.keys() ?? []].filter((incarnation) => !told.has(incarnation))
    return [...this.update(source, works), ...this.update(source, missing.map(idleAt))]
  }

  /** Takes a source's word of some endpoints; gives those at which it has changed. */
  update (source: Source, works: readonly LoadSummary[]): string[] {
    return works.filter((work) => this.set(source, work)).map(({ incarnation }) => incarnation)
  }

  /** Forgets a source; gives the endpoints at which it had something under way. */
  remove (source: Source): string[] {
    const incarnations = [...this.bySource.get(source)?.keys() ?? []]
    for (const incarnation of incarnations) this.set(source, idleAt(incarnation))
    return incarnations
  }

  /** The endpoints at which any of some sources has something under way. */
  endpoints (counts: (source: Source) => boolean): string[] {
    return [...this.byEndpoint].filter(([, sources]) => [...sources.keys()].some(counts)).map(([incarnation]) => incarnation)
  }

  /** The sum over some of the sources at one endpoint. */
  sumAt (incarnation: string, counts: (source: Source) => boolean): LoadSummary {
    const sum = { running: 0, strain: 0, sensitive: 0, unreachable: 0 }
    const unread = new Map<number, number>()
    let memory: MemoryUse | undefined
    for (const [source, work] of this.byEndpoint.get(incarnation) ?? []) {
      if (!counts(source)) continue
      sum.running += work.running
      sum.strain += work.strain
      sum.sensitive += work.sensitive
      sum.unreachable += work.unreachable
      memory = joined(memory, work.memory)
      for (const { urgency, tokens } of work.unread) unread.set(urgency, (unread.get(urgency) ?? 0) + tokens)
    }
    const rows = [...unread].map(([urgency, tokens]) => ({ urgency, tokens }))
    return memory === undefined ? { incarnation, ...sum, unread: rows } : { incarnation, ...sum, unread: rows, memory }
  }

  /** Whether this is news. */
  private set (source: Source, work: LoadSummary): boolean {
    const { incarnation } = work
    const works = this.bySource.get(source) ?? new Map<string, LoadSummary>()
    const known = works.get(incarnation) ?? idleAt(incarnation)
    if (isSame(known, work)) return false
    this.bySource.set(source, works)
    const sources = this.byEndpoint.get(incarnation) ?? new Map<Source, LoadSummary>()
    this.byEndpoint.set(incarnation, sources)
    if (isIdle(work)) {
      works.delete(incarnation)
      sources.delete(source)
    } else {
      works.set(incarnation, work)
      sources.set(source, work)
    }
    if (works.size === 0) this.bySource.delete(source)
    if (sources.size === 0) this.byEndpoint.delete(incarnation)
    return true
  }
}

function idleAt (incarnation: string): LoadSummary {
  return { incarnation, running: 0, strain: 0, sensitive: 0, unreachable: 0, unread: [] }
}

function isIdle (work: LoadSummary): boolean {
  return isSame(work, idleAt(work.incarnation))
}

function isSame (left: LoadSummary, right: LoadSummary): boolean {
  return left.running === right.running && left.strain === right.strain && left.sensitive === right.sensitive &&
    left.unreachable === right.unreachable && isSameMemory(left.memory, right.memory) &&
    left.unread.length === right.unread.length && left.unread.every((part, index) => isSameUnread(part, right.unread[index]))
}

/** A subject that several sources have sets one bit. */
function joined (left: MemoryUse | undefined, right: MemoryUse | undefined): MemoryUse | undefined {
  if (left === undefined || right === undefined) return left ?? right
  return {
    tokens: left.tokens + right.tokens,
    sharedTokens: left.sharedTokens + right.sharedTokens,
    sharing: left.sharing + right.sharing,
    subjects: [(left.subjects[0] | right.subjects[0]) >>> 0, (left.subjects[1] | right.subjects[1]) >>> 0]
  }
}

function isSameMemory (left: MemoryUse | undefined, right: MemoryUse | undefined): boolean {
  return left?.tokens === right?.tokens && left?.sharedTokens === right?.sharedTokens && left?.sharing === right?.sharing &&
    left?.subjects[0] === right?.subjects[0] && left?.subjects[1] === right?.subjects[1]
}

function isSameUnread (left: UnreadTokens, right: UnreadTokens | undefined): boolean {
  return left.urgency === right?.urgency && left.tokens === right.tokens
}
