/**
 * Tells each entry what all others have under way. An entry tells one control process and hears from that one; control
 * processes tell each other the sums of their entries. What an entry sends and hears is bounded by its own work and by the
 * endpoints that have any, at any number of entries.
 */
import { ReadingTable, WorkloadTable } from '@gullwall/control.workload'
import { type Link } from '@gullwall/transport.link'
import { type Holding, type MessageOf, type Reading, type LoadSummary } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from './throttled-action.ts'

/**
 * Changes that arrive within this time for each entry are told together, in ms; the first after a pause is told at once. An
 * entry then hears no more words than the others tell, and a few entries hear of each other almost at once.
 */
const SPACING_PER_ENTRY_MS = 2.5
/** With many entries the time grows no further: an entry hears 25 words a second at most. */
const MAX_SPACING_MS = 40
/** An entry that has told nothing for so long has nothing under way any more, and is told nothing, in ms. */
const ENTRY_VALID_MS = 2500
/** A peer that was not heard for so long is taken to be cut off, in ms: one repeated word may be missing. */
const PEER_VALID_MS = 2200
/** Entries and peers hear something at least so often, and so know that what they were told still holds, in ms. */
const REPEAT_MS = 1000
/**
 * Peers in other regions are told so often at most, in ms: their entries choose engines of this region only once their own
 * have no room, and the link between regions is narrow.
 */
const FARTHER_SPACING_MS = 250
/** What was learnt of how engines read is told so often at most, in ms. */
const READINGS_MS = 250

interface ListeningEntry {
  heardAt: number
  toldAt: number
}

/** A holding and the link that told of it, which need not hear of it again. */
interface UntoldHolding {
  holding: Holding
  from: Link
}

/** What has come since the last word: endpoints at which something changed, with those who told of it, and holdings. */
interface News {
  changed: Map<string, Set<Link>>
  untold: UntoldHolding[]
}

const noNews = (): News => ({ changed: new Map(), untold: [] })

/** Which sources a sum is of. */
type Counts = (source: Link) => boolean

/** All that is known to be under way. */
export interface LoadSnapshot {
  works: LoadSummary[]
  readings: Reading[]
  /** Peers that were heard lately. */
  activePeerCount: number
}

export class LoadRelay {
  private readonly table = new WorkloadTable<Link>()
  /** The entries that tell this process, by their links. */
  private readonly entries = new Map<Link, ListeningEntry>()
  /** When each peer was last heard, by the links that the peers keep. */
  private readonly peerHeardAt = new Map<Link, number>()
  /** What was not told yet. */
  private news = noNews()
  /** What was not told to other regions yet. */
  private farNews = noNews()
  private readonly telling = new ThrottledAction(() => this.spacingMs, () => this.tell())
  private readonly tellingFar = new ThrottledAction(() => FARTHER_SPACING_MS, () => this.tellFar())
  private readonly readings = new ReadingTable()
  private readonly tellingReadings = new ThrottledAction(() => READINGS_MS, () => this.tellReadings())
  private repeatTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: Pick<ControlServices, 'peers' | 'proximity'>) {}

  start (): void {
    this.repeatTimer = setInterval(() => this.repeat(), REPEAT_MS)
  }

  stop (): void {
    clearInterval(this.repeatTimer)
    this.telling.stop()
    this.tellingFar.stop()
    this.tellingReadings.stop()
  }

  /** What all entries have under way, as far as it was told here. */
  getSnapshot (): LoadSnapshot {
    return { works: this.wholeOf(() => true).works, readings: this.readings.all(performance.now()), activePeerCount: this.peersHeard }
  }

  /** Takes what an entry has under way. */
  receiveFromEntry (link: Link, { works, holdings, observations, listens }: MessageOf<'work'>): void {
    if (!listens) {
      this.forgetEntry(link)
      return
    }
    const now = performance.now()
    const known = this.entries.get(link)
    if (known === undefined) this.welcome(link, now)
    else known.heardAt = now
    this.note(link, this.table.replace(link, works))
    this.noteHoldings(link, holdings)
    this.readings.learn(observations, now)
    if (observations.length > 0) this.tellingReadings.request()
  }

  /** Takes the sums of a peer's entries. */
  receiveFromPeer (link: Link, { whole, works, holdings }: MessageOf<'workSums'>): void {
    this.peerHeardAt.set(link, performance.now())
    this.note(link, whole ? this.table.replace(link, works) : this.table.update(link, works))
    this.noteHoldings(link, holdings)
  }

  /** Gives a peer whose link has just opened the sums of the entries here. */
  sendSnapshot (peer: Link): void {
    peer.send(this.wholeOf(isEntry))
  }

  /** Forgets what came over a link that has closed. */
  removeLink (link: Link): void {
    this.peerHeardAt.delete(link)
    if (this.entries.has(link)) this.forgetEntry(link)
    else this.note(link, this.table.remove(link))
  }

  private forgetEntry (link: Link): void {
    this.entries.delete(link)
    this.note(link, this.table.remove(link))
  }

  /** Takes in an entry that tells this process for the first time; an older link of the same entry counts no more. */
  private welcome (link: Link, now: number): void {
    for (const other of [...this.entries.keys()]) {
      if (other.peer.name === link.peer.name) this.forgetEntry(other)
    }
    this.entries.set(link, { heardAt: now, toldAt: now })
    link.send(this.wholeOf((source) => source !== link))
    link.send({ kind: 'readings', readings: this.readings.all(now) })
  }

  private note (from: Link, incarnations: readonly string[]): void {
    for (const { changed } of this.allNews) {
      for (const incarnation of incarnations) {
        const sources = changed.get(incarnation) ?? new Set<Link>()
        changed.set(incarnation, sources.add(from))
      }
    }
    if (incarnations.length > 0) this.requestTelling()
  }

  private noteHoldings (from: Link, holdings: readonly Holding[]): void {
    for (const { untold } of this.allNews) untold.push(...holdings.map((holding) => ({ holding, from })))
    if (holdings.length > 0) this.requestTelling()
  }

  /** Nothing is kept for other regions while no peer there is linked; one that links is told the whole. */
  private get allNews (): News[] {
    return this.peers('farther').length > 0 ? [this.news, this.farNews] : [this.news]
  }

  private requestTelling (): void {
    this.telling.request()
    if (this.peers('farther').length > 0) this.tellingFar.request()
  }

  private peers (which: 'near' | 'farther'): Link[] {
    const { peers, proximity } = this.services
    return peers.links().filter((peer) => (proximity.getDistanceTo(peer) === 'other region') === (which === 'farther'))
  }

  private tell (): void {
    const now = performance.now()
    const news = this.news
    this.news = noNews()
    this.tellPeers(news, 'near')
    for (const [link, entry] of this.entries) {
      const word = this.wordOf(news, (source) => source !== link)
      if (word === undefined) continue
      entry.toldAt = now
      link.send(word)
    }
  }

  private tellFar (): void {
    const news = this.farNews
    this.farNews = noNews()
    this.tellPeers(news, 'farther')
  }

  private tellPeers (news: News, which: 'near' | 'farther'): void {
    const word = this.wordOf(news, isEntry)
    if (word !== undefined) for (const peer of this.peers(which)) peer.send(word)
  }

  private tellReadings (): void {
    const readings = this.readings.takeChanged(performance.now())
    if (readings.length === 0) return
    for (const link of this.entries.keys()) link.send({ kind: 'readings', readings })
  }

  /** What some of the sources have told, added up; undefined where the news is not of them. */
  private wordOf ({ changed, untold }: News, counts: Counts): MessageOf<'workSums'> | undefined {
    const told = [...changed].filter(([, sources]) => [...sources].some(counts))
    const works = told.map(([incarnation]) => this.table.sumAt(incarnation, counts))
    const holdings = untold.filter(({ from }) => counts(from)).map(({ holding }) => holding)
    return works.length + holdings.length === 0 ? undefined : this.word(works, holdings)
  }

  private word (works: LoadSummary[], holdings: Holding[] = []): MessageOf<'workSums'> {
    return { kind: 'workSums', whole: false, peers: this.peersHeard, works, holdings }
  }

  private get peersHeard (): number {
    const since = performance.now() - PEER_VALID_MS
    return new Set([...this.peerHeardAt].filter(([, heardAt]) => heardAt > since).map(([link]) => link.peer.name)).size
  }

  /** Peers are taken to have as many entries as this process. */
  private get spacingMs (): number {
    return Math.min(MAX_SPACING_MS, SPACING_PER_ENTRY_MS * this.entries.size * (1 + this.peersHeard))
  }

  /** All that some of the sources have under way. */
  private wholeOf (counts: Counts): MessageOf<'workSums'> {
    const works = this.table.endpoints(counts).map((incarnation) => this.table.sumAt(incarnation, counts))
    return { ...this.word(works), whole: true }
  }

  /** Forgets entries that have fallen silent, and tells those that have heard nothing for long. */
  private repeat (): void {
    const now = performance.now()
    this.readings.forgetOld(now)
    for (const [link, { heardAt, toldAt }] of this.entries) {
      if (now - heardAt > ENTRY_VALID_MS) this.forgetEntry(link)
      else if (now - toldAt >= REPEAT_MS) link.send(this.word([]))
    }
    for (const peer of this.services.peers.links()) peer.send(this.word([]))
  }
}

/** Entries tell of themselves, peers of their entries. */
function isEntry (source: Link): boolean {
  return source.peer.role === 'entry'
}
