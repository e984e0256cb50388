/**
 * Sends each entry the load summaries of all other entries. An entry exchanges load summaries with one control process, and control
 * processes send each other the sums over their entries. The traffic of an entry therefore depends on its own load and on the number
 * of loaded endpoints, but not on the number of entries.
 */
import { ReadingTable, WorkloadTable } from '@gullwall/control.workload'
import { type Link } from '@gullwall/transport.link'
import { type Holding, type MessageOf, type Reading, type LoadSummary } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from '@gullwall/core.clock'

/**
 * Publishing interval for each entry of the deployment, in ms. Changes within the interval are published together, and the first
 * change after a pause is published at once. An entry receives no more messages than the other entries send, and with few entries
 * the delay is short.
 */
const INTERVAL_PER_ENTRY_MS = 2.5
/** Longest publishing interval, in ms. It limits an entry to 25 received messages per second. */
const MAX_INTERVAL_MS = 40
/** An entry that has sent nothing for this time is removed, in ms. Its load is no longer counted, and it receives nothing. */
const ENTRY_TIMEOUT_MS = 2500
/** A peer that has sent nothing for this time counts as disconnected, in ms. The time allows for one missing repeat. */
const PEER_TIMEOUT_MS = 2200
/** Longest time without a message to an entry or a peer, in ms. An empty message confirms that the last load summaries are valid. */
const REPEAT_INTERVAL_MS = 1000
/**
 * Shortest publishing interval for peers in other regions, in ms. Their entries use endpoints of this region only when their own
 * endpoints have no capacity, and the bandwidth between regions is low.
 */
const OTHER_REGION_INTERVAL_MS = 250
/** Shortest publishing interval for readings, in ms. A reading contains the observed reading speed, pauses and failures of an endpoint. */
const READINGS_INTERVAL_MS = 250

interface LinkedEntry {
  receivedAt: number
  sentAt: number
}

/** A holding, which lists prompt parts that an endpoint has cached. It waits for publication and is not sent back to its source. */
interface PendingHolding {
  holding: Holding
  from: Link
}

/** Changes since the last publication. */
interface PendingChanges {
  /** The endpoints whose load changed, each with the sources of the changes. */
  changed: Map<string, Set<Link>>
  pendingHoldings: PendingHolding[]
}

const noChanges = (): PendingChanges => ({ changed: new Map(), pendingHoldings: [] })

/** Selects the sources that a sum includes. */
type SourceFilter = (source: Link) => boolean

/** The load of the whole deployment as this process knows it. */
export interface LoadSnapshot {
  loads: LoadSummary[]
  readings: Reading[]
  /** Number of peers that sent a message recently. */
  activePeerCount: number
}

export class LoadRelay {
  private readonly table = new WorkloadTable<Link>()
  /** The entries that send their load to this process, by link. */
  private readonly entries = new Map<Link, LinkedEntry>()
  /** Time of the last message of each peer, by the link that the peer opened. */
  private readonly peerReceivedAt = new Map<Link, number>()
  /** Changes to publish to entries and to the peers of this region. */
  private pending = noChanges()
  /** Changes to publish to the peers of other regions. */
  private otherRegionPending = noChanges()
  private readonly publishing = new ThrottledAction(() => this.intervalMs, () => this.publish())
  private readonly publishingToOtherRegions = new ThrottledAction(() => OTHER_REGION_INTERVAL_MS, () => this.publishToOtherRegions())
  private readonly readings = new ReadingTable()
  private readonly publishingReadings = new ThrottledAction(() => READINGS_INTERVAL_MS, () => this.publishReadings())
  private repeatTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: Pick<ControlServices, 'peers' | 'proximity'>) {}

  start (): void {
    this.repeatTimer = setInterval(() => this.sendRepeats(), REPEAT_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.repeatTimer)
    this.publishing.stop()
    this.publishingToOtherRegions.stop()
    this.publishingReadings.stop()
  }

  /** Returns the load of all entries as this process knows it. */
  getSnapshot (): LoadSnapshot {
    return {
      loads: this.createSnapshot(() => true).works, readings: this.readings.all(performance.now()), activePeerCount: this.activePeerCount
    }
  }

  /** Receives the load summaries of an entry. */
  receiveFromEntry (link: Link, { works, holdings, observations, listens }: MessageOf<'work'>): void {
    if (!listens) {
      this.removeEntry(link)
      return
    }
    const now = performance.now()
    const known = this.entries.get(link)
    if (known === undefined) this.addEntry(link, now)
    else known.receivedAt = now
    this.recordChanges(link, this.table.replace(link, works))
    this.recordHoldings(link, holdings)
    this.readings.learn(observations, now)
    if (observations.length > 0) this.publishingReadings.request()
  }

  /** Receives the sums over the entries of a peer. */
  receiveFromPeer (link: Link, { whole, works, holdings }: MessageOf<'workSums'>): void {
    this.peerReceivedAt.set(link, performance.now())
    this.recordChanges(link, whole ? this.table.replace(link, works) : this.table.update(link, works))
    this.recordHoldings(link, holdings)
  }

  /** Sends the sums over the entries of this process to a peer whose link has just opened. */
  sendSnapshot (peer: Link): void {
    peer.send(this.createSnapshot(isEntry))
  }

  /** Removes the load that was received over a link that has closed. */
  removeLink (link: Link): void {
    this.peerReceivedAt.delete(link)
    if (this.entries.has(link)) this.removeEntry(link)
    else this.recordChanges(link, this.table.remove(link))
  }

  private removeEntry (link: Link): void {
    this.entries.delete(link)
    this.recordChanges(link, this.table.remove(link))
  }

  /** Adds an entry that sends its load to this process for the first time. An older link of the same entry is removed. */
  private addEntry (link: Link, now: number): void {
    for (const other of [...this.entries.keys()]) {
      if (other.peer.name === link.peer.name) this.removeEntry(other)
    }
    this.entries.set(link, { receivedAt: now, sentAt: now })
    link.send(this.createSnapshot((source) => source !== link))
    link.send({ kind: 'readings', readings: this.readings.all(now) })
  }

  private recordChanges (from: Link, incarnations: readonly string[]): void {
    for (const { changed } of this.allPending) {
      for (const incarnation of incarnations) {
        const sources = changed.get(incarnation) ?? new Set<Link>()
        changed.set(incarnation, sources.add(from))
      }
    }
    if (incarnations.length > 0) this.requestPublishing()
  }

  private recordHoldings (from: Link, holdings: readonly Holding[]): void {
    for (const { pendingHoldings } of this.allPending) pendingHoldings.push(...holdings.map((holding) => ({ holding, from })))
    if (holdings.length > 0) this.requestPublishing()
  }

  /** Changes for other regions are recorded only while a peer there is linked. A peer that connects later receives all sums. */
  private get allPending (): PendingChanges[] {
    return this.findPeers('other region').length > 0 ? [this.pending, this.otherRegionPending] : [this.pending]
  }

  private requestPublishing (): void {
    this.publishing.request()
    if (this.findPeers('other region').length > 0) this.publishingToOtherRegions.request()
  }

  private findPeers (region: 'same region' | 'other region'): Link[] {
    const { peers, proximity } = this.services
    return peers.links().filter((peer) => (proximity.getDistanceTo(peer) === 'other region') === (region === 'other region'))
  }

  private publish (): void {
    const now = performance.now()
    const pending = this.pending
    this.pending = noChanges()
    this.publishToPeers(pending, 'same region')
    for (const [link, entry] of this.entries) {
      const update = this.createUpdate(pending, (source) => source !== link)
      if (update === undefined) continue
      entry.sentAt = now
      link.send(update)
    }
  }

  private publishToOtherRegions (): void {
    const pending = this.otherRegionPending
    this.otherRegionPending = noChanges()
    this.publishToPeers(pending, 'other region')
  }

  private publishToPeers (pending: PendingChanges, region: 'same region' | 'other region'): void {
    const update = this.createUpdate(pending, isEntry)
    if (update !== undefined) for (const peer of this.findPeers(region)) peer.send(update)
  }

  private publishReadings (): void {
    const readings = this.readings.takeChanged(performance.now())
    if (readings.length === 0) return
    for (const link of this.entries.keys()) link.send({ kind: 'readings', readings })
  }

  /** Returns the sums over the included sources where they changed; undefined if none of the changes came from them. */
  private createUpdate ({ changed, pendingHoldings }: PendingChanges, isIncluded: SourceFilter): MessageOf<'workSums'> | undefined {
    const affected = [...changed].filter(([, sources]) => [...sources].some(isIncluded))
    const works = affected.map(([incarnation]) => this.table.sumAt(incarnation, isIncluded))
    const holdings = pendingHoldings.filter(({ from }) => isIncluded(from)).map(({ holding }) => holding)
    return works.length + holdings.length === 0 ? undefined : this.createMessage(works, holdings)
  }

  private createMessage (works: LoadSummary[], holdings: Holding[] = []): MessageOf<'workSums'> {
    return { kind: 'workSums', whole: false, peers: this.activePeerCount, works, holdings }
  }

  private get activePeerCount (): number {
    const since = performance.now() - PEER_TIMEOUT_MS
    return new Set([...this.peerReceivedAt].filter(([, receivedAt]) => receivedAt > since).map(([link]) => link.peer.name)).size
  }

  /** The publishing interval. It assumes that each peer has as many entries as this process. */
  private get intervalMs (): number {
    return Math.min(MAX_INTERVAL_MS, INTERVAL_PER_ENTRY_MS * this.entries.size * (1 + this.activePeerCount))
  }

  /** Returns the complete sums over the included sources. */
  private createSnapshot (isIncluded: SourceFilter): MessageOf<'workSums'> {
    const works = this.table.endpoints(isIncluded).map((incarnation) => this.table.sumAt(incarnation, isIncluded))
    return { ...this.createMessage(works), whole: true }
  }

  /** Removes silent entries. Sends an empty message to all peers, and to the entries that received nothing in the last interval. */
  private sendRepeats (): void {
    const now = performance.now()
    this.readings.forgetOld(now)
    for (const [link, { receivedAt, sentAt }] of this.entries) {
      if (now - receivedAt > ENTRY_TIMEOUT_MS) this.removeEntry(link)
      else if (now - sentAt >= REPEAT_INTERVAL_MS) link.send(this.createMessage([]))
    }
    for (const peer of this.services.peers.links()) peer.send(this.createMessage([]))
  }
}

/** Whether a source is an entry. Other sources are peers, which send sums over their entries. */
function isEntry (source: Link): boolean {
  return source.peer.role === 'entry'
}
