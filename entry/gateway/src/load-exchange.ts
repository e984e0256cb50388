/** Sends a summary of this entry's load to control, and stores the summed load of the other entries. */
import { MIN_COPY_TOKENS, NO_OTHERS_LOAD, sharedPrefixTokens, type EndpointState, type PromptPart } from '@gullwall/routing.balancer'
import { type Holding, type MemoryUse, type MessageOf, type Observation, type LoadSummary } from '@gullwall/transport.messages'
import { type GatewayServices } from './index.ts'

/** Interval at which the load is checked for changes to send, in ms. */
const TICK_MS = 60
/** A prompt with more uncached tokens is reported at once, so that other entries do not choose the same endpoint meanwhile. */
const LARGE_PROMPT_TOKENS = 1500
/** Minimum interval between such immediate reports, in ms. */
const MIN_INTERVAL_MS = 20
/** Interval at which an unchanged load is sent again, in ms: control discards a load that is not repeated. */
const REPEAT_MS = 1000
/** The load of the other entries expires this long after the last message, in ms; messages arrive at least once a second. */
const VALID_MS = 2500

/** The most sent prompts that are kept while no control process is linked; the oldest is dropped first, as in the engines' caches. */
const MAX_UNSENT_HOLDINGS = 1000

export class LoadExchange {
  /** The load of the other entries by incarnation, including endpoints that are not known here yet. */
  private readonly others = new Map<string, LoadSummary>()
  private receivedAt = -Infinity
  private timer: NodeJS.Timeout | undefined
  private sentText = ''
  private sentAt = -Infinity
  /** Prompts that were sent to endpoints since the last report. */
  private unsentHoldings: Holding[] = []

  constructor (private readonly services: GatewayServices) {}

  start (): void {
    this.timer = setInterval(() => this.tick(), TICK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Receives the load of the other entries and the prompts that they have sent. */
  receive ({ whole, works, holdings }: MessageOf<'workSums'>): void {
    const { view } = this.services
    const now = performance.now()
    this.receivedAt = now
    if (whole) this.clearOthers()
    for (const load of works) this.setOthers(load)
    for (const { incarnation, parts } of holdings) view.get(incarnation)?.recordCached(parts, now)
    view.wake()
  }

  private setOthers (load: LoadSummary): void {
    if (load.running + load.unread.length + load.unreachable > 0) this.others.set(load.incarnation, load)
    else this.others.delete(load.incarnation)
    const endpoint = this.services.view.get(load.incarnation)
    if (endpoint !== undefined) endpoint.othersLoad = load
  }

  /** Records that an endpoint is about to receive a prompt; long shared parts that it has not cached are reported to other entries. */
  recordSending ({ prefixCache, description }: EndpointState, prompt: readonly PromptPart[]): void {
    const shared = sharedPrefixTokens(prompt)
    if (shared < MIN_COPY_TOKENS || prefixCache.cachedTokens(prompt) >= shared) return
    this.unsentHoldings.push({ incarnation: description.incarnation, parts: prompt.slice(0, -1).map(({ id, tokens }) => ({ id, tokens })) })
    if (this.unsentHoldings.length > MAX_UNSENT_HOLDINGS) this.unsentHoldings.shift()
  }

  /** Records that a prompt was sent; a large one is reported at once. */
  recordSent (unreadTokens: number): void {
    if (unreadTokens > LARGE_PROMPT_TOKENS) this.sendSoon()
  }

  /** Reports at once that an endpoint cannot be reached or has ended, so that other entries do not try it. */
  recordUnreachable (): void {
    this.sendSoon()
  }

  private sendSoon (): void {
    setImmediate(() => this.sendAfter(MIN_INTERVAL_MS))
  }

  /** Updates the endpoints and sends the load if it has changed. */
  tick (): void {
    const now = performance.now()
    if (now - this.receivedAt > VALID_MS) this.clearOthers()
    for (const { endpoint, ticks } of this.services.view.nextScanBatch(now)) {
      endpoint.othersLoad = this.others.get(endpoint.description.incarnation) ?? NO_OTHERS_LOAD
      endpoint.samplePrefill(now, ticks)
      this.services.view.index.updateTotals(endpoint)
    }
    // An engine in an evacuated data centre must not be reserved, since the streams could not use it.
    this.services.view.reserveEngines((dataCentre) => !this.services.evacuatedDataCentres.isEvacuated(dataCentre))
    this.sendAfter(0)
  }

  private clearOthers (): void {
    for (const incarnation of this.others.keys()) {
      const endpoint = this.services.view.get(incarnation)
      if (endpoint !== undefined) endpoint.othersLoad = NO_OTHERS_LOAD
    }
    this.others.clear()
  }

  /** Sends the load if it has changed, unless the last message was sent less than this time ago. */
  private sendAfter (intervalMs: number): void {
    const sinceSent = performance.now() - this.sentAt
    if (sinceSent < intervalMs) return
    const works = this.collectLoad()
    const text = JSON.stringify(works)
    const hasChanged = text !== this.sentText || this.unsentHoldings.length > 0
    if (!hasChanged && sinceSent < REPEAT_MS) return
    if (!this.services.controlLinks.reportLoad({ works, holdings: this.unsentHoldings, observations: this.takeObservations() })) return
    this.unsentHoldings = []
    this.sentText = text
    this.sentAt = performance.now()
  }

  /** Adopts the reading speeds, pauses and failure shares that control has derived from the observations of all entries. */
  adoptReadings ({ readings }: MessageOf<'readings'>): void {
    const now = performance.now()
    for (const reading of readings) {
      const endpoint = this.services.view.get(reading.incarnation)
      endpoint?.prefill.adopt(reading)
      if (reading.failureShare !== undefined) endpoint?.outcomes.adopt(reading.failureShare, now)
    }
  }

  /** Returns what was observed at busy endpoints since the last message, and clears it. */
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

  private collectLoad (): LoadSummary[] {
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

/** The memory that this entry's requests use at an endpoint, in whole tokens. */
function memoryOf ({ memory }: EndpointState): MemoryUse {
  const { tokens, sharedTokens, sharing, subjects: [low, high] } = memory.use
  return { tokens: Math.round(tokens), sharedTokens, sharing, subjects: [low, high] }
}
