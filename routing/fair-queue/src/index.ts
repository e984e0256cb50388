/**
 * The queue of an entry: by tier, then fair share among organisations, then
 * arrival. Requests of one class and model with the same reach form a group,
 * since an endpoint's offer fits either all of a group or none.
 */
import { type Tier } from '@gullwall/core.types'

/** What the queue must know of a request. */
export interface QueueItem {
  id: string
  /** Requests of one group may use the same endpoints and share class and tier. */
  group: string
  class: string
  tier: Tier
  organisation: string
  /** The organisation's share within the tier. */
  weight: number
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number
}

/** A request to give up when the queue is full. */
export interface Victim<Item> {
  item: Item
  /** It ran in part, so giving it up breaks off an answer. */
  isResumed: boolean
}

/** A summary of one group's waiting work. */
export interface GroupSummary<Item extends QueueItem = QueueItem> {
  group: string
  /** One of the group's requests; all have class, tier and reach in common. */
  sample: Item
  class: string
  tier: Tier
  count: number
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

  /** How many requests wait that never ran. */
  get unstartedSize (): number {
    return this.total - this.resumedTotal
  }

  /** Adds a request; one that ran in part before goes ahead of its organisation's others. */
  push (item: Item, options: { atFront?: boolean } = {}): void {
    const group = this.groupOf(item)
    const lane = group.lane(item.organisation)
    const target = options.atFront === true ? lane.resumed : lane.waiting
    target.add(item)
    if (options.atFront === true) this.resumedTotal += 1
    group.size += 1
    this.total += 1
    this.sharesOf(item.tier).join(item.organisation)
  }

  /** Takes a request out; false if it is not queued. */
  remove (item: Item): boolean {
    const group = this.groups.get(item.group)
    const lane = group?.lanes.get(item.organisation)
    if (group === undefined || lane === undefined) return false
    if (lane.resumed.delete(item)) this.resumedTotal -= 1
    else if (!lane.waiting.delete(item)) return false
    group.size -= 1
    this.total -= 1
    if (lane.size === 0) group.lanes.delete(item.organisation)
    if (group.size === 0) this.groups.delete(item.group)
    return true
  }

  /**
   * Takes the best request among some groups: highest tier, then the
   * organisation furthest below its share, then the oldest.
   */
  take (groups: Iterable<string>): Item | undefined {
    const best = this.peek(groups)
    if (best === undefined) return undefined
    this.remove(best)
    return best
  }

  /** Gives what {@link take} would take. */
  peek (groups: Iterable<string>): Item | undefined {
    let best: Item | undefined
    for (const name of groups) {
      const group = this.groups.get(name)
      if (group === undefined || (best !== undefined && group.tier > best.tier)) continue
      const candidate = this.firstOf(group)
      if (candidate !== undefined && (best === undefined || this.isBefore(candidate, best))) best = candidate
    }
    return best
  }

  /** Adds the cost of a request to its organisation's account; see {@link TierShares}. */
  charge (tier: Tier, organisation: string, weight: number, cost: number): void {
    this.sharesOf(tier).charge(organisation, cost / weight)
  }

  /** One waiting request of each group. */
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
      oldestArrivedAt: group.oldest()
    }))
  }

  /** How many requests of a tier or a higher one wait in some groups. */
  countAhead (tier: Tier, groups: ReadonlySet<string>): number {
    let count = 0
    for (const [name, group] of this.groups) {
      if (group.tier <= tier && groups.has(name)) count += group.size
    }
    return count
  }

  /** Tells whether a request of a tier or a higher one waits in some groups. */
  hasWaiting (tier: Tier, groups: ReadonlySet<string>): boolean {
    for (const [name, group] of this.groups) {
      if (group.tier <= tier && groups.has(name)) return true
    }
    return false
  }

  /**
   * The request to give up when the queue is full: of the lowest tier present,
   * the newest of the organisation with the most waiting there; one that ran in
   * part only if the tier has no other.
   */
  findVictim (): Victim<Item> | undefined {
    let lowest: Group<Item> | undefined
    for (const group of this.groups.values()) {
      const isLower = lowest === undefined || group.tier > lowest.tier
      const isLonger = group.tier === lowest?.tier && group.freshSize > lowest.freshSize
      if (isLower || isLonger) lowest = group
    }
    return lowest?.victim()
  }

  private groupOf (item: Item): Group<Item> {
    let group = this.groups.get(item.group)
    if (group === undefined) {
      group = new Group<Item>(item)
      this.groups.set(item.group, group)
    }
    return group
  }

  private sharesOf (tier: Tier): TierShares {
    let shares = this.shares.get(tier)
    if (shares === undefined) {
      shares = new TierShares()
      this.shares.set(tier, shares)
    }
    return shares
  }

  private firstOf (group: Group<Item>): Item | undefined {
    const shares = this.sharesOf(group.tier)
    let best: Lane<Item> | undefined
    let bestUsed = Infinity
    for (const [organisation, lane] of group.lanes) {
      const used = shares.used(organisation)
      if (used < bestUsed) {
        best = lane
        bestUsed = used
      }
    }
    return best?.first()
  }

  private isBefore (left: Item, right: Item): boolean {
    if (left.tier !== right.tier) return left.tier < right.tier
    const shares = this.sharesOf(left.tier)
    const leftUsed = shares.used(left.organisation)
    const rightUsed = shares.used(right.organisation)
    if (leftUsed !== rightUsed) return leftUsed < rightUsed
    return left.arrivedAt < right.arrivedAt
  }
}

/** One organisation's requests in a group, in order of arrival. */
class Lane<Item> {
  readonly resumed = new Set<Item>()
  readonly waiting = new Set<Item>()

  get size (): number {
    return this.resumed.size + this.waiting.size
  }

  first (): Item | undefined {
    const lane = this.resumed.size > 0 ? this.resumed : this.waiting
    return lane.values().next().value
  }

  newestFresh (): Item | undefined {
    return [...this.waiting].at(-1)
  }
}

class Group<Item extends QueueItem> {
  readonly lanes = new Map<string, Lane<Item>>()
  size = 0

  constructor (readonly sample: Item) {}

  get tier (): Tier {
    return this.sample.tier
  }

  lane (organisation: string): Lane<Item> {
    let lane = this.lanes.get(organisation)
    if (lane === undefined) {
      lane = new Lane<Item>()
      this.lanes.set(organisation, lane)
    }
    return lane
  }

  oldest (): number {
    let oldest = Infinity
    for (const lane of this.lanes.values()) oldest = Math.min(oldest, lane.first()?.arrivedAt ?? Infinity)
    return oldest
  }

  get freshSize (): number {
    let size = 0
    for (const lane of this.lanes.values()) size += lane.waiting.size
    return size
  }

  victim (): Victim<Item> | undefined {
    let longest: Lane<Item> | undefined
    for (const lane of this.lanes.values()) {
      if (longest === undefined || lane.waiting.size > longest.waiting.size) longest = lane
    }
    const fresh = longest?.newestFresh()
    if (fresh !== undefined) return { item: fresh, isResumed: false }
    const item = longest?.first()
    return item === undefined ? undefined : { item, isResumed: true }
  }
}

/** At this many organisations the accounts of those at the tier's clock are dropped. */
const MAX_ACCOUNTS = 10_000

/**
 * What each organisation of a tier has used, over its weight. An organisation
 * that was away starts at the tier's clock, so idle time earns no credit.
 */
class TierShares {
  private readonly accounts = new Map<string, number>()
  private clock = 0

  join (organisation: string): void {
    const used = this.accounts.get(organisation) ?? 0
    if (used < this.clock) this.accounts.set(organisation, this.clock)
  }

  used (organisation: string): number {
    return this.accounts.get(organisation) ?? this.clock
  }

  /** A charge below zero corrects an estimate that was too high. */
  charge (organisation: string, cost: number): void {
    const before = this.used(organisation)
    this.accounts.set(organisation, before + cost)
    if (cost > 0) this.clock = Math.max(this.clock, before)
    if (this.accounts.size > MAX_ACCOUNTS) this.dropIdle()
  }

  private dropIdle (): void {
    for (const [organisation, used] of this.accounts) {
      if (used <= this.clock) this.accounts.delete(organisation)
    }
  }
}
