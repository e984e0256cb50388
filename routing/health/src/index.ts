/**
 * Outlier detection for endpoints. Each endpoint is compared with its peers, which serve the same model or service in the same
 * data centre. An unhealthy endpoint is ejected, probed with one request at a time after a while, and readmitted once it is
 * healthy again. No endpoint is ejected because its whole data centre is slow, and at most a third of a peer group is ejected,
 * so that enough capacity remains.
 */

/** The measured behaviour of an endpoint. */
export interface EndpointSample {
  name: string
  /** Endpoints with the same peer group are compared with each other. */
  peerGroup: string
  /** The median time between tokens in ms; 0 if unknown. */
  tokenGapMs: number
  /** The median time to the first token in ms; 0 if unknown. */
  firstTokenMs: number
  /** The number of consecutive failures. */
  failuresInRow: number
}

export type HealthState = 'healthy' | 'ejected' | 'probing'

/** A change of an endpoint's state, and its reason. */
export interface HealthChange {
  endpoint: string
  state: HealthState
  reason: string
}

interface EndpointHealth {
  state: HealthState
  ejections: number
  /** The end of the ejection. */
  ejectedUntil: number
  probeSuccesses: number
  stalls: number
}

/** An endpoint is unhealthy if its time between tokens exceeds the median of its peers by this factor. */
const OUTLIER_FACTOR = 2.5
/** Smaller differences from the median are ignored, in ms. */
const MIN_OUTLIER_GAP_MS = 20
const MAX_FAILURES_IN_ROW = 3
const MAX_EJECTED_SHARE = 0.34
const MIN_PEERS = 3
const FIRST_EJECTION_MS = 2000
const MAX_EJECTION_MS = 30_000
const MIN_PROBE_SUCCESSES = 2
/** The minimum time in the probing state, in ms: the measured token times must come from the probes. */
const MIN_PROBE_MS = 1500

/** Tracks the health of endpoints. Times are in ms of the monotonic clock. */
export class HealthMonitor {
  private readonly healthByEndpoint = new Map<string, EndpointHealth>()

  state (endpoint: string): HealthState {
    return this.healthByEndpoint.get(endpoint)?.state ?? 'healthy'
  }

  /** Records that a stream of this process stalled, which load reports do not show. */
  recordStall (endpoint: string): void {
    this.getOrCreate(endpoint).stalls += 1
  }

  /** Records a successful request. It resets stalls and counts as a successful probe while the endpoint is probed. */
  recordSuccess (endpoint: string): void {
    const health = this.healthByEndpoint.get(endpoint)
    if (health === undefined) return
    health.stalls = 0
    if (health.state === 'probing') health.probeSuccesses += 1
  }

  /** Records a failed request. While the endpoint is probed, this ejects it again. */
  recordProbeFailure (endpoint: string, now = performance.now()): void {
    const health = this.healthByEndpoint.get(endpoint)
    if (health?.state === 'probing') eject(health, now)
  }

  /** Compares every endpoint with its peers and returns the changes of state. */
  evaluate (samples: readonly EndpointSample[], now = performance.now()): HealthChange[] {
    const changes: HealthChange[] = []
    for (const peers of groupPeers(samples)) {
      const medians = computeMedians(peers.filter((peer) => this.state(peer.name) === 'healthy'))
      for (const sample of peers) {
        const change = this.evaluateOne(sample, peers, medians, now)
        if (change !== undefined) changes.push(change)
      }
    }
    return changes
  }

  /** Drops the state of an endpoint. */
  forget (endpoint: string): void {
    this.healthByEndpoint.delete(endpoint)
  }

  private evaluateOne (sample: EndpointSample, peers: readonly EndpointSample[], medians: Medians, now: number): HealthChange | undefined {
    const health = this.getOrCreate(sample.name)
    if (health.state === 'ejected') return this.startProbeIfDue(sample.name, health, now)
    const unhealthyReason = findUnhealthyReason(sample, health, medians, peers.length)
    if (health.state === 'probing') return this.endProbe(sample.name, health, unhealthyReason, now)
    if (unhealthyReason === undefined || !this.canEject(peers)) return undefined
    eject(health, now)
    return { endpoint: sample.name, state: 'ejected', reason: unhealthyReason }
  }

  private startProbeIfDue (endpoint: string, health: EndpointHealth, now: number): HealthChange | undefined {
    if (now < health.ejectedUntil) return undefined
    health.state = 'probing'
    health.probeSuccesses = 0
    return { endpoint, state: 'probing', reason: `ejected ${health.ejections} times` }
  }

  /** Readmits an endpoint after its probes, or ejects it again if it is still unhealthy, even if all probes succeeded. */
  private endProbe (endpoint: string, health: EndpointHealth, unhealthyReason: string | undefined, now: number): HealthChange | undefined {
    if (now < health.ejectedUntil + MIN_PROBE_MS) return undefined
    if (unhealthyReason !== undefined) {
      eject(health, now)
      return { endpoint, state: 'ejected', reason: unhealthyReason }
    }
    if (health.probeSuccesses < MIN_PROBE_SUCCESSES) return undefined
    health.state = 'healthy'
    health.stalls = 0
    return { endpoint, state: 'healthy', reason: `${health.probeSuccesses} probes succeeded` }
  }

  private canEject (peers: readonly EndpointSample[]): boolean {
    const ejected = peers.filter((peer) => this.state(peer.name) !== 'healthy').length
    return peers.length > 1 && ejected + 1 <= Math.max(1, Math.floor(peers.length * MAX_EJECTED_SHARE))
  }

  private getOrCreate (endpoint: string): EndpointHealth {
    let health = this.healthByEndpoint.get(endpoint)
    if (health === undefined) {
      health = { state: 'healthy', ejections: 0, ejectedUntil: 0, probeSuccesses: 0, stalls: 0 }
      this.healthByEndpoint.set(endpoint, health)
    }
    return health
  }
}

interface Medians {
  tokenGapMs: number
  firstTokenMs: number
}

function eject (health: EndpointHealth, now: number): void {
  health.state = 'ejected'
  health.ejectedUntil = now + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.ejections)
  health.ejections += 1
  health.stalls = 0
}

function findUnhealthyReason (sample: EndpointSample, health: EndpointHealth, medians: Medians, peerCount: number): string | undefined {
  if (health.stalls > 0) return 'a stream stalled'
  if (sample.failuresInRow >= MAX_FAILURES_IN_ROW) return `${sample.failuresInRow} consecutive failures`
  if (peerCount < MIN_PEERS) return undefined
  if (isOutlier(sample.tokenGapMs, medians.tokenGapMs)) {
    return `${sample.tokenGapMs.toFixed(0)} ms between tokens; the median of its peers is ${medians.tokenGapMs.toFixed(0)} ms`
  }
  return undefined
}

function isOutlier (value: number, median: number): boolean {
  return median > 0 && value > median * OUTLIER_FACTOR && value - median > MIN_OUTLIER_GAP_MS
}

function groupPeers (samples: readonly EndpointSample[]): EndpointSample[][] {
  const groups = new Map<string, EndpointSample[]>()
  for (const sample of samples) {
    const group = groups.get(sample.peerGroup)
    if (group === undefined) groups.set(sample.peerGroup, [sample])
    else group.push(sample)
  }
  return [...groups.values()]
}

function computeMedians (samples: readonly EndpointSample[]): Medians {
  return {
    tokenGapMs: computeMedian(samples.map((sample) => sample.tokenGapMs)),
    firstTokenMs: computeMedian(samples.map((sample) => sample.firstTokenMs))
  }
}

/** Computes the median of the values above 0, which are the known ones; 0 if there are none. */
function computeMedian (values: number[]): number {
  const known = values.filter((value) => value > 0).sort((left, right) => left - right)
  return known[Math.floor(known.length / 2)] ?? 0
}
