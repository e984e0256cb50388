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
  why: string
}

interface Entry {
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
  private readonly entries = new Map<string, Entry>()

  state (endpoint: string): HealthState {
    return this.entries.get(endpoint)?.state ?? 'healthy'
  }

  /** Records that a stream of this process stalled, which load reports do not show. */
  noteStall (endpoint: string): void {
    this.getOrCreate(endpoint).stalls += 1
  }

  /** Records a successful request. It resets stalls and counts as a successful probe while the endpoint is probed. */
  noteSuccess (endpoint: string): void {
    const entry = this.entries.get(endpoint)
    if (entry === undefined) return
    entry.stalls = 0
    if (entry.state === 'probing') entry.probeSuccesses += 1
  }

  /** Records a failed request. While the endpoint is probed, this ejects it again. */
  noteProbeFailure (endpoint: string, now = performance.now()): void {
    const entry = this.entries.get(endpoint)
    if (entry?.state === 'probing') eject(entry, now)
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
    this.entries.delete(endpoint)
  }

  private evaluateOne (sample: EndpointSample, peers: readonly EndpointSample[], medians: Medians, now: number): HealthChange | undefined {
    const entry = this.getOrCreate(sample.name)
    if (entry.state === 'ejected') return this.probeWhenDue(sample.name, entry, now)
    const unhealthyReason = findUnhealthyReason(sample, entry, medians, peers.length)
    if (entry.state === 'probing') return this.endProbe(sample.name, entry, unhealthyReason, now)
    if (unhealthyReason === undefined || !this.canEject(peers)) return undefined
    eject(entry, now)
    return { endpoint: sample.name, state: 'ejected', why: unhealthyReason }
  }

  private probeWhenDue (endpoint: string, entry: Entry, now: number): HealthChange | undefined {
    if (now < entry.ejectedUntil) return undefined
    entry.state = 'probing'
    entry.probeSuccesses = 0
    return { endpoint, state: 'probing', why: `ejected ${entry.ejections} times` }
  }

  /** Readmits an endpoint after its probes, or ejects it again if it is still unhealthy, even if all probes succeeded. */
  private endProbe (endpoint: string, entry: Entry, unhealthyReason: string | undefined, now: number): HealthChange | undefined {
    if (now < entry.ejectedUntil + MIN_PROBE_MS) return undefined
    if (unhealthyReason !== undefined) {
      eject(entry, now)
      return { endpoint, state: 'ejected', why: unhealthyReason }
    }
    if (entry.probeSuccesses < MIN_PROBE_SUCCESSES) return undefined
    entry.state = 'healthy'
    entry.stalls = 0
    return { endpoint, state: 'healthy', why: `${entry.probeSuccesses} probes succeeded` }
  }

  private canEject (peers: readonly EndpointSample[]): boolean {
    const ejected = peers.filter((peer) => this.state(peer.name) !== 'healthy').length
    return peers.length > 1 && ejected + 1 <= Math.max(1, Math.floor(peers.length * MAX_EJECTED_SHARE))
  }

  private getOrCreate (endpoint: string): Entry {
    let entry = this.entries.get(endpoint)
    if (entry === undefined) {
      entry = { state: 'healthy', ejections: 0, ejectedUntil: 0, probeSuccesses: 0, stalls: 0 }
      this.entries.set(endpoint, entry)
    }
    return entry
  }
}

interface Medians {
  tokenGapMs: number
  firstTokenMs: number
}

function eject (entry: Entry, now: number): void {
  entry.state = 'ejected'
  entry.ejectedUntil = now + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** entry.ejections)
  entry.ejections += 1
  entry.stalls = 0
}

function findUnhealthyReason (sample: EndpointSample, entry: Entry, medians: Medians, peerCount: number): string | undefined {
  if (entry.stalls > 0) return 'a stream stalled'
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
