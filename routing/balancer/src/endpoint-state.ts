/** The state of one incarnation of an endpoint, as one entry observes it. */
import { InFlightMemory, NO_MEMORY_USE, requestSizeOf, type MemoryUse, type RequestSize } from './engine-memory.ts'
import { PrefixCacheModel, type PromptPart } from './prefix-cache-model.ts'
import { OutcomeObserver } from './outcome-observer.ts'
import { PrefillObserver } from './prefill-observer.ts'
import { hashName } from './rendezvous.ts'

/**
 * What the end of an attempt shows about the endpoint. The verdict `ended` means that another process answered at its address, so
 * that this incarnation has ended. The verdict `neutral` means that the end shows nothing about the endpoint.
 */
export type AttemptVerdict = 'success' | 'failed' | 'shed' | 'unreachable' | 'ended' | 'neutral'

const FIRST_EJECTION_MS = 500
const MAX_EJECTION_MS = 4000
/** The weight of one attempt in the failure share. */
const FAILURE_WEIGHT = 0.2
/** An endpoint with requests in flight counts as silent after this time without a byte from it, in ms. */
const SILENT_MS = 1200
/** An engine may send nothing during prefill. The time until it counts as silent allows for prefill at this low speed. */
const MIN_PREFILL_TOKENS_PER_MS = 8
/** The share of an engine's memory that is assumed to hold cached prompt parts; running requests need the rest. */
const CACHE_SHARE = 0.6
const DEFAULT_MEMORY_TOKENS = 400_000

/** The prefill of a prompt counts as complete this long after the prefill of the backlog at the time of sending, in ms. */
const PREFILL_MARGIN_MS = 600

/** One attempt in flight. */
export interface InFlightRequest {
  readonly startedAt: number
  /** Prompt tokens that needed prefill when the attempt was sent. */
  readonly unreadTokens: number
  /** Its rank at the endpoint; requests with a lower rank go first. */
  readonly urgency: number
  /** All tokens of the prompt, since the endpoint may have none of them cached. */
  readonly promptTokens: number
  /** The pause sensitivity of its stream; 0 if it is no stream or has no limit for pauses. */
  readonly pauseSensitivity: number
  /** Whether it is a stream that prefill on the same engine would delay and that needs little prefill itself. */
  readonly isPauseSensitive: boolean
  /** Prompt tokens whose prefill was queued ahead of it when it was sent. */
  readonly aheadTokens: number
  /** Whether the first event has arrived. */
  hasFirstEvent: boolean
  /** The time of its latest events; before the first, the time of sending. */
  lastEventAt: number
}

/** Prompt tokens of one urgency whose prefill is probably not complete. */
export interface UnreadTokens {
  urgency: number
  tokens: number
}

/** The load of the other entries at an endpoint. */
export interface OthersLoad {
  readonly unread: readonly UnreadTokens[]
  readonly running: number
  /** The sum of the pause sensitivities of their streams. */
  readonly strain: number
  /** The number of their pause-sensitive streams. */
  readonly sensitive: number
  /** The number of entries that recently failed to connect there, or found another process at its address. */
  readonly unreachable: number
  /** The memory that their requests take; undefined if no entry reports it. */
  readonly memory?: MemoryUse | undefined
}

export const NO_OTHERS_LOAD: OthersLoad = { unread: [], running: 0, strain: 0, sensitive: 0, unreachable: 0 }

/** A request that is sent to an endpoint. */
export interface SentRequest {
  prompt: readonly PromptPart[]
  unreadTokens: number
  urgency: number
  /** The pause sensitivity of its stream. */
  pauseSensitivity: number
  /** Whether it is a stream that prefill on the same engine would delay and that needs little prefill itself. */
  isPauseSensitive: boolean
  /** The expected length of its answer, in tokens. */
  outputTokens?: number
}

export interface EndpointDescription {
  incarnation: string
  /** The name under which the endpoint can restart, if it can. */
  life?: { name: string } | undefined
  service: string
  /** The build of its software; undefined if it is not known. */
  build?: string | undefined
  address: string
  dataCentre: string
  slots: number
}

/** Receives the changes of an endpoint that an index of endpoints has to follow. */
export interface EndpointWatcher {
  /** A prompt part counts as cached at the endpoint from now on. */
  onPartCached: (endpoint: EndpointState, part: string) => void
  /** A prompt part doesn't count as cached there any more. */
  onPartEvicted: (endpoint: EndpointState, part: string) => void
  /** This entry sends a request to the endpoint. */
  onRequestStarted: (endpoint: EndpointState) => void
  /** This incarnation of the endpoint has ended. */
  onEnded: (endpoint: EndpointState) => void
}

/** A salt that makes the point on the affinity ring independent of the reservation rank. */
const AFFINITY_SALT = 'home '

const NO_REQUEST: RequestSize = { ownTokens: 0, sharedPrefixId: undefined, sharedTokens: 0 }

let createdCount = 0

export class EndpointState {
  readonly prefixCache: PrefixCacheModel
  readonly prefill = new PrefillObserver()
  /** How the attempts of all entries ended at the endpoint. */
  readonly outcomes = new OutcomeObserver()
  readonly inFlightRequests = new Set<InFlightRequest>()
  /** The memory that the requests of this entry take at the endpoint. */
  readonly memory = new InFlightMemory()
  private readonly sizes = new WeakMap<InFlightRequest, RequestSize>()
  /** The time of the latest byte from the endpoint. */
  lastReceivedAt = -Infinity
  /** The load of the other entries at the endpoint, as last reported. */
  othersLoad: OthersLoad = NO_OTHERS_LOAD
  /** The moving average of failures among the finished attempts of this entry. */
  failureShare = 0
  /** Whether another process has answered at its address, which means that this incarnation has ended. */
  hasEnded = false
  /** Its rank among the engines of its service when some of them are reserved; the lowest ranks are reserved first. */
  readonly reservationRank: number
  /** Its point on the affinity ring. */
  readonly affinityPoint: number
  /** The number of endpoints that became known before it. */
  readonly registrationOrder = createdCount++
  private ejectedUntil = -Infinity
  private ejections = 0

  /** @param memoryTokens capacity of its memory, in tokens */
  constructor (
    public description: EndpointDescription, public memoryTokens = DEFAULT_MEMORY_TOKENS, private readonly watcher?: EndpointWatcher
  ) {
    this.reservationRank = hashName(description.incarnation)
    this.affinityPoint = hashName(AFFINITY_SALT + description.incarnation)
    this.prefixCache = new PrefixCacheModel(memoryTokens * CACHE_SHARE, {
      onCached: (part) => watcher?.onPartCached(this, part),
      onEvicted: (part) => watcher?.onPartEvicted(this, part)
    })
  }

  get inFlight (): number {
    return this.inFlightRequests.size
  }

  /** The number of requests in flight from all entries. */
  get running (): number {
    return this.inFlightRequests.size + this.othersLoad.running
  }

  /** Prompt tokens from all entries whose prefill is probably not complete. */
  get backlogTokens (): number {
    return this.tokensAhead(Infinity)
  }

  /** Returns the tokens of the backlog whose prefill goes before or along with a request of some urgency. */
  tokensAhead (urgency: number): number {
    let tokens = 0
    for (const request of this.inFlightRequests) {
      if (!request.hasFirstEvent && request.urgency <= urgency) tokens += request.unreadTokens
    }
    for (const unread of this.othersLoad.unread) {
      if (unread.urgency <= urgency) tokens += unread.tokens
    }
    return tokens
  }

  /** Returns the part of the backlog that this entry has sent. */
  ownUnread (): UnreadTokens[] {
    const byUrgency = new Map<number, number>()
    for (const { hasFirstEvent, urgency, unreadTokens } of this.inFlightRequests) {
      if (!hasFirstEvent) byUrgency.set(urgency, (byUrgency.get(urgency) ?? 0) + unreadTokens)
    }
    return [...byUrgency].map(([urgency, tokens]) => ({ urgency, tokens }))
  }

  /** The sum of the pause sensitivities of this entry's streams at the endpoint. */
  get ownPauseSensitivity (): number {
    let sum = 0
    for (const request of this.inFlightRequests) sum += request.pauseSensitivity
    return sum
  }

  /** The sum of the pause sensitivities of all entries' streams at the endpoint. */
  get pauseSensitivity (): number {
    return this.ownPauseSensitivity + this.othersLoad.strain
  }

  /** The number of this entry's pause-sensitive streams at the endpoint. */
  get ownPauseSensitiveStreams (): number {
    let count = 0
    for (const request of this.inFlightRequests) if (request.isPauseSensitive) count += 1
    return count
  }

  /** The number of all entries' pause-sensitive streams at the endpoint. */
  get pauseSensitiveStreams (): number {
    return this.ownPauseSensitiveStreams + this.othersLoad.sensitive
  }

  /** The share of its memory that the requests of all entries will take. */
  get memoryShare (): number {
    return this.memoryShareWith(NO_REQUEST)
  }

  /** Returns the share of its memory that the requests of all entries will take together with one more. */
  memoryShareWith (size: RequestSize): number {
    if (this.memoryTokens <= 0) return 0
    const others = this.othersLoad.memory ?? NO_MEMORY_USE
    const isCached = size.sharedPrefixId !== undefined && this.prefixCache.has(size.sharedPrefixId)
    return (this.memory.tokensWith(others) + this.memory.tokensAddedBy(size, others, isCached)) / this.memoryTokens
  }

  /**
   * Samples the prefill backlog.
   * @param intervals number of regular sampling intervals that the sample stands for
   */
  samplePrefill (now: number, intervals = 1): void {
    this.prefill.sample(this.backlogTokens, now, intervals)
  }

  begin (
    { prompt, unreadTokens, urgency, pauseSensitivity, isPauseSensitive, outputTokens = 0 }: SentRequest, now: number
  ): InFlightRequest {
    const promptTokens = prompt.reduce((tokens, part) => tokens + part.tokens, 0)
    const aheadTokens = this.tokensAhead(urgency)
    const size = requestSizeOf(prompt, outputTokens)
    const request: InFlightRequest = {
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
    this.inFlightRequests.add(request)
    this.sizes.set(request, size)
    this.memory.add(size)
    this.watcher?.onRequestStarted(this)
    this.recordCached(prompt, now)
    return request
  }

  /**
   * Records that an entry has sent prompt parts to the endpoint. Other endpoints can copy the parts once the prefill of the present
   * backlog and of the parts is complete.
   */
  recordCached (parts: readonly PromptPart[], now: number): void {
    this.prefixCache.record(parts, now + PREFILL_MARGIN_MS + this.backlogTokens / this.prefill.tokensPerMs)
  }

  /** Records that events of an attempt have arrived. */
  recordEvents (request: InFlightRequest, now: number): void {
    const sinceLast = now - request.lastEventAt
    if (request.hasFirstEvent) this.prefill.recordPause(sinceLast, request.lastEventAt)
    else this.prefill.recordPrefill({ tokens: request.unreadTokens, aheadTokens: request.aheadTokens, tookMs: sinceLast })
    request.hasFirstEvent = true
    request.lastEventAt = now
  }

  end (request: InFlightRequest, verdict: AttemptVerdict, now: number): void {
    this.inFlightRequests.delete(request)
    this.release(request)
    if (verdict === 'neutral') return
    if (verdict === 'success' || verdict === 'failed') this.outcomes.record(verdict === 'success')
    const failed = verdict === 'success' ? 0 : 1
    this.failureShare += FAILURE_WEIGHT * (failed - this.failureShare)
    if (verdict === 'unreachable') this.eject(now)
    if (verdict === 'ended') this.markEnded()
    if (verdict === 'success') this.ejections = 0
  }

  /** Whether the endpoint is ejected because a connection to it failed recently. */
  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }

  /** Whether this entry can't reach the endpoint: a connection failed recently, or another process has its address. */
  isUnreachable (now: number): boolean {
    return this.hasEnded || this.isEjected(now)
  }

  /** The share of other entries that could not connect there, among those that lately could not or have work there. */
  get unreachableShare (): number {
    const { unreachable, running } = this.othersLoad
    return unreachable / (unreachable + running + 1)
  }

  /** Whether requests are in flight and no byte has arrived for longer than their prefill can take. */
  isSilent (now: number): boolean {
    let oldest = Infinity
    let promptTokens = 0
    for (const request of this.inFlightRequests) {
      oldest = Math.min(oldest, request.startedAt)
      if (!request.hasFirstEvent) promptTokens += request.promptTokens
    }
    return now - Math.max(this.lastReceivedAt, oldest) > SILENT_MS + promptTokens / MIN_PREFILL_TOKENS_PER_MS
  }

  private release (request: InFlightRequest): void {
    const size = this.sizes.get(request)
    if (size === undefined) return
    this.sizes.delete(request)
    this.memory.remove(size)
  }

  private markEnded (): void {
    this.hasEnded = true
    this.watcher?.onEnded(this)
  }

  private eject (now: number): void {
    const ejectionMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections)
    this.ejections += 1
    this.ejectedUntil = now + ejectionMs
  }
}
