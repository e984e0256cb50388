/** What one entry has seen of one incarnation of an endpoint. */
import { InFlightMemory, NO_MEMORY_USE, requestSizeOf, type MemoryUse, type RequestSize } from './engine-memory.ts'
import { PrefixCacheModel, type PromptPart } from './prefix-cache-model.ts'
import { OutcomeObserver } from './outcome-observer.ts'
import { PrefillObserver } from './prefill-observer.ts'
import { hashName } from './rendezvous.ts'

/** How an attempt ended, as far as it tells something of the endpoint. */
export type AttemptVerdict = 'good' | 'failed' | 'shed' | 'unreachable' | 'ended' | 'neutral'

const FIRST_EJECTION_MS = 500
const MAX_EJECTION_MS = 4000
const FAILURE_WEIGHT = 0.2
/** With work under way and no byte for so long, an endpoint is taken to be silent, in ms. */
const SILENT_MS = 1200
/** Nothing arrives while prompts are read; this is far slower than any engine reads them. */
const SLOWEST_READ_TOKENS_PER_MS = 8
/** The share of the engine's memory that is taken to hold parts; running requests need the rest. */
const CACHE_SHARE = 0.6
const DEFAULT_MEMORY_TOKENS = 400_000

/** A prompt that was sent has been read after this time and that of what waits there, in ms. */
const READ_WITHIN_MS = 600

/** One attempt that is under way. */
export interface InFlightRequest {
  readonly startedAt: number
  /** Prompt tokens that the endpoint had still to read when the attempt was sent. */
  readonly unreadTokens: number
  /** Its rank at the endpoint; what has a lower one is read first. */
  readonly urgency: number
  /** All tokens of the prompt; none of them may be kept there after all. */
  readonly promptTokens: number
  readonly pauseSensitivity: number
  readonly isPauseSensitive: boolean
  /** Prompt tokens that were to be read there before it. */
  readonly aheadTokens: number
  /** Whether the first event has arrived. */
  hasFirstEvent: boolean
  /** When events last arrived, or the attempt was sent. */
  lastEventAt: number
}

/** Prompt tokens of one urgency that are probably not read yet. */
export interface UnreadTokens {
  urgency: number
  tokens: number
}

/** Work of other entries at an endpoint. */
export interface OthersLoad {
  readonly unread: readonly UnreadTokens[]
  readonly running: number
  /** The strains of their streams, added up. */
  readonly strain: number
  /** Their streams that are sensitive to reading. */
  readonly sensitive: number
  /** How many of them could not connect there lately, or met another process at its address. */
  readonly unreachable: number
  /** What they hold of the engine's memory; none from entries that do not tell. */
  readonly memory?: MemoryUse | undefined
}

export const NO_OTHERS_LOAD: OthersLoad = { unread: [], running: 0, strain: 0, sensitive: 0, unreachable: 0 }

/** What is sent to an endpoint. */
export interface SentPrompt {
  prompt: readonly PromptPart[]
  unreadTokens: number
  urgency: number
  pauseSensitivity: number
  /** Whether it is a stream that is sensitive to reading, and reads little itself. */
  isPauseSensitive: boolean
  /** How long its answer will probably be. */
  outputTokens?: number
}

export interface EndpointDescription {
  incarnation: string
  /** Of an endpoint that may start again under its name. */
  life?: { name: string } | undefined
  service: string
  address: string
  dataCentre: string
  slots: number
}

/** Who is told of changes that a choice among many must not miss. */
export interface EndpointWatcher {
  /** It is taken to keep a part of prompts from now on. */
  onPartCached: (endpoint: EndpointState, part: string) => void
  onPartEvicted: (endpoint: EndpointState, part: string) => void
  /** This entry sends something there. */
  onRequestStarted: (endpoint: EndpointState) => void
  /** It has ended for good. */
  onEnded: (endpoint: EndpointState) => void
}

/** What the points on the ring of homes are hashed with, so that they have nothing to do with the rank for reservations. */
const HOME_SALT = 'home '

const NOTHING: RequestSize = { ownTokens: 0, sharedPrefixId: undefined, sharedTokens: 0 }

let created = 0

export class EndpointState {
  readonly prefixCache: PrefixCacheModel
  readonly prefill = new PrefillObserver()
  /** How attempts of all entries ended here. */
  readonly outcomes = new OutcomeObserver()
  readonly inFlightRequests = new Set<InFlightRequest>()
  /** What the requests of this entry hold of its memory. */
  readonly memory = new InFlightMemory()
  private readonly sizes = new WeakMap<InFlightRequest, RequestSize>()
  /** When any byte last arrived from the endpoint. */
  lastReceivedAt = -Infinity
  /** What the other entries have under way there, as they last told. */
  othersLoad: OthersLoad = NO_OTHERS_LOAD
  /** A moving share of failures among finished attempts. */
  failureShare = 0
  /** Whether another process has answered at its address: this incarnation has ended for good. */
  hasEnded = false
  /** Its place among the engines of its service when some of them are reserved; those with a low one come first. */
  readonly reservationRank: number
  /** Its place on the ring of homes. */
  readonly affinityPoint: number
  /** How many became known before it. */
  readonly registrationOrder = created++
  private ejectedUntil = -Infinity
  private ejections = 0

  /** @param memoryTokens how many tokens its memory holds */
  constructor (
    public description: EndpointDescription, public memoryTokens = DEFAULT_MEMORY_TOKENS, private readonly watcher?: EndpointWatcher
  ) {
    this.reservationRank = hashName(description.incarnation)
    this.affinityPoint = hashName(HOME_SALT + description.incarnation)
    this.prefixCache = new PrefixCacheModel(memoryTokens * CACHE_SHARE, {
      onCached: (part) => watcher?.onPartCached(this, part),
      onEvicted: (part) => watcher?.onPartEvicted(this, part)
    })
  }

  get inFlight (): number {
    return this.inFlightRequests.size
  }

  /** Requests of all entries that run there. */
  get running (): number {
    return this.inFlightRequests.size + this.othersLoad.running
  }

  /** Prompt tokens that any entry has sent and that are probably not read yet. */
  get backlogTokens (): number {
    return this.tokensAhead(Infinity)
  }

  /** Those of them that are read before or with a request of some urgency. */
  tokensAhead (urgency: number): number {
    let tokens = 0
    for (const work of this.inFlightRequests) {
      if (!work.hasFirstEvent && work.urgency <= urgency) tokens += work.unreadTokens
    }
    for (const unread of this.othersLoad.unread) {
      if (unread.urgency <= urgency) tokens += unread.tokens
    }
    return tokens
  }

  /** What this entry has sent and what is probably not read yet. */
  ownUnread (): UnreadTokens[] {
    const byUrgency = new Map<number, number>()
    for (const { hasFirstEvent, urgency, unreadTokens } of this.inFlightRequests) {
      if (!hasFirstEvent) byUrgency.set(urgency, (byUrgency.get(urgency) ?? 0) + unreadTokens)
    }
    return [...byUrgency].map(([urgency, tokens]) => ({ urgency, tokens }))
  }

  /** The strains of the streams of this entry that run there, added up. */
  get ownPauseSensitivity (): number {
    let strain = 0
    for (const work of this.inFlightRequests) strain += work.pauseSensitivity
    return strain
  }

  /** The same of all entries. */
  get pauseSensitivity (): number {
    return this.ownPauseSensitivity + this.othersLoad.strain
  }

  /** The streams of this entry that run there and are sensitive to reading. */
  get ownPauseSensitiveStreams (): number {
    let count = 0
    for (const work of this.inFlightRequests) if (work.isPauseSensitive) count += 1
    return count
  }

  /** The same of all entries. */
  get pauseSensitiveStreams (): number {
    return this.ownPauseSensitiveStreams + this.othersLoad.sensitive
  }

  /** The share of its memory that the requests of all entries will hold there. */
  get memoryShare (): number {
    return this.memoryShareWith(NOTHING)
  }

  /** The same, with one more. */
  memoryShareWith (size: RequestSize): number {
    if (this.memoryTokens <= 0) return 0
    const others = this.othersLoad.memory ?? NO_MEMORY_USE
    const isKept = size.sharedPrefixId !== undefined && this.prefixCache.has(size.sharedPrefixId)
    return (this.memory.tokensWith(others) + this.memory.tokensAddedBy(size, others, isKept)) / this.memoryTokens
  }

  /** Takes a sample of how much there is to read; samples come at even intervals, or one for several of them. */
  samplePrefill (now: number, intervals = 1): void {
    this.prefill.sample(this.backlogTokens, now, intervals)
  }

  begin (
    { prompt, unreadTokens, urgency, pauseSensitivity, isPauseSensitive, outputTokens = 0 }: SentPrompt, now: number
  ): InFlightRequest {
    const promptTokens = prompt.reduce((tokens, part) => tokens + part.tokens, 0)
    const aheadTokens = this.tokensAhead(urgency)
    const size = requestSizeOf(prompt, outputTokens)
    const work: InFlightRequest = {
      startedAt: now,
      unreadTokens,
      urgency,
      promptTokens,
      pauseSensitivity,
      isPauseSensitive,
      aheadTokens,
      hasFirstEvent: false,
      lastEventAt: now
    }
    this.inFlightRequests.add(work)
    this.sizes.set(work, size)
    this.memory.add(size)
    this.watcher?.onRequestStarted(this)
    this.recordCached(prompt, now)
    return work
  }

  /** Notes that any entry has sent parts of prompts there. They can be copied once what waits there before them is read. */
  recordCached (parts: readonly PromptPart[], now: number): void {
    this.prefixCache.record(parts, now + READ_WITHIN_MS + this.backlogTokens / this.prefill.tokensPerMs)
  }

  /** Notes that events of an attempt have arrived. */
  recordEvents (work: InFlightRequest, now: number): void {
    const sinceLast = now - work.lastEventAt
    if (work.hasFirstEvent) this.prefill.recordPause(sinceLast, work.lastEventAt)
    else this.prefill.recordPrefill({ tokens: work.unreadTokens, aheadTokens: work.aheadTokens, tookMs: sinceLast })
    work.hasFirstEvent = true
    work.lastEventAt = now
  }

  end (work: InFlightRequest, verdict: AttemptVerdict, now: number): void {
    this.inFlightRequests.delete(work)
    this.release(work)
    if (verdict === 'neutral') return
    if (verdict === 'good' || verdict === 'failed') this.outcomes.record(verdict === 'good')
    const failed = verdict === 'good' ? 0 : 1
    this.failureShare += FAILURE_WEIGHT * (failed - this.failureShare)
    if (verdict === 'unreachable') this.eject(now)
    if (verdict === 'ended') this.noteEnded()
    if (verdict === 'good') this.ejections = 0
  }

  /** Whether the endpoint was unreachable a short while ago. */
  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }

  /** Whether this entry can't reach the endpoint: a connection failed a short while ago, or another process has its address. */
  isUnreachable (now: number): boolean {
    return this.hasEnded || this.isEjected(now)
  }

  /** The share of other entries that could not connect there, among those that lately could not or have work there. */
  get unreachableShare (): number {
    const { unreachable, running } = this.othersLoad
    return unreachable / (unreachable + running + 1)
  }

  /** Whether work waits there and nothing at all arrives. */
  isSilent (now: number): boolean {
    let oldest = Infinity
    let promptTokens = 0
    for (const work of this.inFlightRequests) {
      oldest = Math.min(oldest, work.startedAt)
      if (!work.hasFirstEvent) promptTokens += work.promptTokens
    }
    return now - Math.max(this.lastReceivedAt, oldest) > SILENT_MS + promptTokens / SLOWEST_READ_TOKENS_PER_MS
  }

  private release (work: InFlightRequest): void {
    const size = this.sizes.get(work)
    if (size === undefined) return
    this.sizes.delete(work)
    this.memory.remove(size)
  }

  private noteEnded (): void {
    this.hasEnded = true
    this.watcher?.onEnded(this)
  }

  private eject (now: number): void {
    const pause = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections)
    this.ejections += 1
    this.ejectedUntil = now + pause
  }
}
