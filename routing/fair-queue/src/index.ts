/**
 * The queue of an entry, ordered by tier, then by fair share among organisations, then by arrival. Requests of one class and
 * model that may use the same endpoints form a group, since an offered slot suits either all requests of a group or none.
 */
import { type Tier } from '@gullwall/core.types'

/** The properties of a request that the queue uses. */
export interface QueueItem {
  id: string
  /** Requests of one group have the same class and tier and may use the same endpoints. */
  group: string
  class: string
  tier: Tier
  organisation: string
  /** The weight of the organisation's share within the tier. */
  weight: number
  /** The time of arrival, in ms of the monotonic clock. */
  arrivedAt: number
}

/** A request to shed when the queue is full. */
export interface Victim<Item> {
  item: Item
  /** Whether the request ran in part, so that shedding it cuts off its response. */
  isResumed: boolean
}

/** A summary of the waiting requests of one group. */
export interface GroupSummary<Item extends QueueItem = QueueItem> {
  group: string
  /** One of the group's requests, which stands for all of them. */
  sample: Item
  class: string
  tier: Tier
  count: number
  /** The number of organisations with waiting requests. */
  organisations: number
  oldestArrivedAt: number
}

export class FairQueue<Item extends QueueItem> {
  private readonly groups = new Map<string, Group<Item>>()
  private readonly shares = new Map<Tier, TierShares>()
  private total = 0
  private resumedTotal = 0

  get size (): number {
    return this.total
  }

  /** The number of waiting requests that have not run before. */
  get unstartedSize (): number {
    return this.total - this.resumedTotal
  }

  /** Adds a request. With `atFront` it ran in part and is queued ahead of its organisation's other requests. */
  push (item: Item, options: { atFront?: boolean } = {}): void {
    const group = this.getOrCreateGroup(item)
    const lane = group.getOrCreateLane(item.organisation)
    const target = options.atFront === true ? lane.resumed : lane.unstarted
    target.add(item)
    if (options.atFront === true) this.resumedTotal += 1
    group.size += 1
    this.total += 1
    this.getOrCreateShares(item.tier).join(item.organisation)
  }

  /**
   * Removes a request.
   * @returns false if the request is not queued
   */
  remove (item: Item): boolean {
    const group = this.groups.get(item.group)
    const lane = group?.lanes.get(item.organisation)
    if (group === undefined || lane === undefined) return false
    if (lane.resumed.delete(item)) this.resumedTotal -= 1
    else if (!lane.unstarted.delete(item)) return false
    group.size -= 1
    this.total -= 1
    if (lane.size === 0) group.lanes.delete(item.organisation)
    if (group.size === 0) this.groups.delete(item.group)
    return true
  }

  /** Removes and returns the first request of some groups, by highest tier, then by lowest usage of the organisation, then by age. */
  take (groups: Iterable<string>): Item | undefined {
    const best = this.peek(groups)
    if (best === undefined) return undefined
    this.remove(best)
    return best
  }

  /** Returns the request that {@link take} would remove. */
  peek (groups: Iterable<string>): Item | undefined {
    let best: Item | undefined
    for (const name of groups) {
      const group = this.groups.get(name)
      if (group === undefined || (best !== undefined && group.tier > best.tier)) continue
      const candidate = this.findFirst(group)
      if (candidate !== undefined && (best === undefined || this.isBefore(candidate, best))) best = candidate
    }
    return best
  }

  /** Adds the cost of a request to its organisation's usage; see {@link TierShares}. A negative cost corrects an earlier one. */
  charge (tier: Tier, organisation: string, weight: number, cost: number): void {
    this.getOrCreateShares(tier).charge(organisation, cost / weight)
  }

  /** Returns one waiting request of each group. */
  groupSamples (): Item[] {
    return [...this.groups.values()].map((group) => group.sample)
  }

  summaries (): GroupSummary<Item>[] {
    return [...this.groups.entries()].map(([name, group]) => ({
      group: name,
      sample: group.sample,
      class: group.sample.class,
      tier: group.tier,
      count: group.size,
      organisations: group.lanes.size,
      oldestArrivedAt: group.findOldestArrival()
    }))
  }

  /** Counts the waiting requests of a tier or a higher one in some groups. */
  countAhead (tier: Tier, groups: ReadonlySet<string>): number {
    let count = 0
    for (const [name, group] of this.groups) {
      if (group.tier <= tier && groups.has(name)) count += group.size
    }
    return count
  }

  /** Whether a request of a tier or a higher one waits in some groups. */
  hasWaiting (tier: Tier, groups: ReadonlySet<string>): boolean {
    for (const [name, group] of this.groups) {
      if (group.tier <= tier && groups.has(name)) return true
    }
    return false
  }

  /**
   * Selects the request to shed when the queue is full: the newest request in the largest group of the lowest tier, from the
   * organisation with the most requests there. A request that ran in part is selected only if all requests of that tier did.
   */
  findVictim (): Victim<Item> | undefined {
    let lowest: Group<Item> | undefined
    for (const group of this.groups.values()) {
      const isLower = lowest === undefined || group.tier > lowest.tier
      const isLarger = group.tier === lowest?.tier && group.unstartedSize > lowest.unstartedSize
      if (isLower || isLarger) lowest = group
    }
    return lowest?.findVictim()
  }

  private getOrCreateGroup (item: Item): Group<Item> {
    let group = this.groups.get(item.group)
    if (group === undefined) {
      group = new Group<Item>(item)
      this.groups.set(item.group, group)
    }
    return group
  }

  private getOrCreateShares (tier: Tier): TierShares {
    let shares = this.shares.get(tier)
    if (shares === undefined) {
      shares = new TierShares()
      this.shares.set(tier, shares)
    }
    return shares
  }

  private findFirst (group: Group<Item>): Item | undefined {
    const shares = this.getOrCreateShares(group.tier)
    let best: Lane<Item> | undefined
    let bestUsage = Infinity
    for (const [organisation, lane] of group.lanes) {
      const usage = shares.getUsage(organisation)
      if (usage < bestUsage) {
        best = lane
        bestUsage = usage
      }
    }
    return best?.first()
  }

  private isBefore (left: Item, right: Item): boolean {
    if (left.tier !== right.tier) return left.tier < right.tier
    const shares = this.getOrCreateShares(left.tier)
    const leftUsage = shares.getUsage(left.organisation)
    const rightUsage = shares.getUsage(right.organisation)
    if (leftUsage !== rightUsage) return leftUsage < rightUsage
    return left.arrivedAt < right.arrivedAt
  }
}

/** The waiting requests of one organisation in a group, in order of arrival. */
class Lane<Item> {
  /** Requests that ran in part. */
  readonly resumed = new Set<Item>()
  /** Requests that have not run before. */
  readonly unstarted = new Set<Item>()

  get size (): number {
    return this.resumed.size + this.unstarted.size
  }

  first (): Item | undefined {
    const requests = this.resumed.size > 0 ? this.resumed : this.unstarted
    return requests.values().next().value
  }

  newestUnstarted (): Item | undefined {
    return [...this.unstarted].at(-1)
  }
}

class Group<Item extends QueueItem> {
  readonly lanes = new Map<string, Lane<Item>>()
  size = 0

  constructor (readonly sample: Item) {}

  get tier (): Tier {
    return this.sample.tier
  }

  getOrCreateLane (organisation: string): Lane<Item> {
    let lane = this.lanes.get(organisation)
    if (lane === undefined) {
      lane = new Lane<Item>()
      this.lanes.set(organisation, lane)
    }
    return lane
  }

  findOldestArrival (): number {
    let oldest = Infinity
    for (const lane of this.lanes.values()) oldest = Math.min(oldest, lane.first()?.arrivedAt ?? Infinity)
    return oldest
  }

  get unstartedSize (): number {
    let size = 0
    for (const lane of this.lanes.values()) size += lane.unstarted.size
    return size
  }

  findVictim (): Victim<Item> | undefined {
    let longest: Lane<Item> | undefined
    for (const lane of this.lanes.values()) {
      if (longest === undefined || lane.unstarted.size > longest.unstarted.size) longest = lane
    }
    const newest = longest?.newestUnstarted()
    if (newest !== undefined) return { item: newest, isResumed: false }
    const item = longest?.first()
    return item === undefined ? undefined : { item, isResumed: true }
  }
}

/** Above this number of organisations, those whose usage is not above the virtual time are dropped. */
const MAX_ORGANISATIONS = 10_000

/**
 * The usage of each organisation in a tier, divided by its weight (weighted fair queueing). An organisation that was idle starts
 * at the tier's virtual time, so that idle time earns no credit.
 */
class TierShares {
  private readonly usage = new Map<string, number>()
  private virtualTime = 0

  /** Raises the usage of an organisation that was idle to the virtual time. */
  join (organisation: string): void {
    const used = this.usage.get(organisation) ?? 0
    if (used < this.virtualTime) this.usage.set(organisation, this.virtualTime)
  }

  getUsage (organisation: string): number {
    return this.usage.get(organisation) ?? this.virtualTime
  }

  /** Adds a cost to the usage of an organisation. A negative cost corrects an estimate that was too high. */
  charge (organisation: string, cost: number): void {
    const before = this.getUsage(organisation)
    this.usage.set(organisation, before + cost)
    if (cost > 0) this.virtualTime = Math.max(this.virtualTime, before)
    if (this.usage.size > MAX_ORGANISATIONS) this.dropIdle()
  }

  private dropIdle (): void {
    for (const [organisation, used] of this.usage) {
      if (used <= this.virtualTime) this.usage.delete(organisation)
    }
  }
}
