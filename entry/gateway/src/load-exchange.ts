/** Tells what this entry has under way, and keeps what the others have, as control adds it up. */
import { MIN_COPY_TOKENS, NO_OTHERS_LOAD, sharedPrefixTokens, type EndpointState, type PromptPart } from '@gullwall/routing.balancer'
import { type Holding, type MemoryUse, type MessageOf, type Observation, type LoadSummary } from '@gullwall/transport.messages'
import { type GatewayServices } from './index.ts'

/** How often this entry looks whether there is something to tell, in ms. */
const LOOK_MS = 60
/** A prompt with more tokens to read is told at once, so that others do not send theirs to the same endpoint meanwhile. */
const TELL_AT_ONCE_TOKENS = 1500
/** Though not more often than this, in ms. */
const AT_ONCE_SPACING_MS = 20
/** Also what has not changed is told again after this time, in ms: control keeps it, and tells of the others, for a while only. */
const REPEAT_MS = 1000
/** What was heard of the others counts for so long after the last word, in ms; words come each second at least. */
const VALID_MS = 2500

/** What was sent where is kept so often at most while no control process can be told; the oldest gives way, as at the engines. */
const MAX_UNTOLD_HOLDINGS = 1000

export class LoadExchange {
  /** What the others have under way, by endpoint; also at endpoints that are not known here yet. */
  private readonly others = new Map<string, LoadSummary>()
  private heardAt = -Infinity
  private timer: NodeJS.Timeout | undefined
  private toldText = ''
  private toldAt = -Infinity
  private untoldHoldings: Holding[] = []

  constructor (private readonly services: GatewayServices) {}

  start (): void {
    this.timer = setInterval(() => this.tick(), LOOK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Takes what the others have under way and what they have sent. */
  receive ({ whole, works, holdings }: MessageOf<'workSums'>): void {
    const { view } = this.services
    const now = performance.now()
    this.heardAt = now
    if (whole) this.forgetOthers()
    for (const work of works) this.noteOthers(work)
    for (const { incarnation, parts } of holdings) view.get(incarnation)?.recordCached(parts, now)
    view.wake()
  }

  private noteOthers (work: LoadSummary): void {
    if (work.running + work.unread.length + work.unreachable > 0) this.others.set(work.incarnation, work)
    else this.others.delete(work.incarnation)
    const endpoint = this.services.view.get(work.incarnation)
    if (endpoint !== undefined) endpoint.othersLoad = work
  }

  /** Notes that an endpoint is about to get a prompt; the other entries are told of long parts that it has not had yet. */
  recordSending ({ prefixCache, description }: EndpointState, prompt: readonly PromptPart[]): void {
    const shared = sharedPrefixTokens(prompt)
    if (shared < MIN_COPY_TOKENS || prefixCache.cachedTokens(prompt) >= shared) return
    this.untoldHoldings.push({ incarnation: description.incarnation, parts: prompt.slice(0, -1).map(({ id, tokens }) => ({ id, tokens })) })
    if (this.untoldHoldings.length > MAX_UNTOLD_HOLDINGS) this.untoldHoldings.shift()
  }

  /** Notes that a prompt was sent. */
  recordSent (unreadTokens: number): void {
    if (unreadTokens > TELL_AT_ONCE_TOKENS) this.tellSoon()
  }

  /** Notes that an endpoint could not be connected to or has ended, which spares the others the same try. */
  recordUnreachable (): void {
    this.tellSoon()
  }

  private tellSoon (): void {
    setImmediate(() => this.tellAfter(AT_ONCE_SPACING_MS))
  }

  /** Looks whether there is something to tell; called at even intervals. */
  tick (): void {
    const now = performance.now()
    if (now - this.heardAt > VALID_MS) this.forgetOthers()
    for (const { endpoint, ticks } of this.services.view.nextScanBatch(now)) {
      endpoint.othersLoad = this.others.get(endpoint.description.incarnation) ?? NO_OTHERS_LOAD
      endpoint.samplePrefill(now, ticks)
      this.services.view.index.updateTotals(endpoint)
    }
    // An evacuated engine that is reserved would leave the streams that it is reserved for without one.
    this.services.view.reserveEngines((dataCentre) => !this.services.evacuatedDataCentres.isEvacuated(dataCentre))
    this.tellAfter(0)
  }

  private forgetOthers (): void {
    for (const incarnation of this.others.keys()) {
      const endpoint = this.services.view.get(incarnation)
      if (endpoint !== undefined) endpoint.othersLoad = NO_OTHERS_LOAD
    }
    this.others.clear()
  }

  /** Tells what has changed, unless something was told less than this time ago. */
  private tellAfter (spacingMs: number): void {
    const sinceTold = performance.now() - this.toldAt
    if (sinceTold < spacingMs) return
    const works = this.ownWorks()
    const text = JSON.stringify(works)
    const isChanged = text !== this.toldText || this.untoldHoldings.length > 0
    if (!isChanged && sinceTold < REPEAT_MS) return
    if (!this.services.controlLinks.reportLoad({ works, holdings: this.untoldHoldings, observations: this.takeObservations() })) return
    this.untoldHoldings = []
    this.toldText = text
    this.toldAt = performance.now()
  }

  /** Takes what control has learnt of how engines read and how attempts end there. */
  adoptReadings ({ readings }: MessageOf<'readings'>): void {
    const now = performance.now()
    for (const reading of readings) {
      const endpoint = this.services.view.get(reading.incarnation)
      endpoint?.prefill.adopt(reading)
      if (reading.failureShare !== undefined) endpoint?.outcomes.adopt(reading.failureShare, now)
    }
  }

  private takeObservations (): Observation[] {
    return [...this.services.view.busy()].flatMap(({ description: { incarnation }, prefill, outcomes }) => {
      if (!prefill.hasObservations && !outcomes.hasObservations) return []
      return [{
        incarnation,
        ...(prefill.takeObservations() ?? { pauses: [], reads: [] }),
        ...(outcomes.hasObservations ? outcomes.takeObservations() : {})
      }]
    })
  }

  private ownWorks (): LoadSummary[] {
    const now = performance.now()
    return [...this.services.view.busy()].filter((endpoint) => endpoint.inFlight > 0 || endpoint.isUnreachable(now)).map((endpoint) => ({
      incarnation: endpoint.description.incarnation,
      unread: endpoint.ownUnread(),
      running: endpoint.inFlight,
      strain: Math.round(100 * endpoint.ownPauseSensitivity) / 100,
      sensitive: endpoint.ownPauseSensitiveStreams,
      unreachable: endpoint.isUnreachable(now) ? 1 : 0,
      ...(endpoint.inFlight > 0 ? { memory: memoryOf(endpoint) } : {})
    }))
  }
}

/** What this entry's requests hold there, in whole tokens. */
function memoryOf ({ memory }: EndpointState): MemoryUse {
  const { tokens, sharedTokens, sharing, subjects: [low, high] } = memory.use
  return { tokens: Math.round(tokens), sharedTokens, sharing, subjects: [low, high] }
}
