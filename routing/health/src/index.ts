/**
 * Finds sick endpoints by what is observed, against their peers: the endpoints
 * that serve the same in the same data centre. A sick one is put aside, probed
 * with one request at a time, and brought back. A data centre that is slow as a
 * whole has no outliers, and never are so many put aside that capacity collapses.
 */

/** What is known of an endpoint's behaviour. */
export interface EndpointSample {
  name: string
  /** Endpoints of one peer group are held against each other. */
  peerGroup: string
  tokenGapMs: number
  firstTokenMs: number
  failuresInRow: number
}

export type HealthState = 'healthy' | 'ejected' | 'probing'

/** A change of one endpoint's state, for the log. */
export interface HealthChange {
  endpoint: string
  state: HealthState
  reason: string
}

interface Entry {
  state: HealthState
  ejections: number
  until: number
  probeSuccesses: number
  stalls: number
}

/** An endpoint this much slower than the median of its peers is sick. */
const OUTLIER_FACTOR = 2.5
/** Differences below this are never held against an endpoint, in ms. */
const MIN_OUTLIER_GAP_MS = 20
const MAX_FAILURES_IN_ROW = 3
const MAX_EJECTED_SHARE = 0.34
const MIN_PEERS = 3
const FIRST_EJECTION_MS = 2000
const MAX_EJECTION_MS = 30_000
const PROBE_SUCCESSES = 2
/** Time for a probe to show how fast the endpoint is by now, in ms. */
const MIN_PROBE_MS = 1500

export class HealthMonitor {
  private readonly entries = new Map<string, Entry>()

  state (endpoint: string): HealthState {
    return this.entries.get(endpoint)?.state ?? 'healthy'
  }

  /** Notes a stream of this process that stood still, which load reports can't show. */
  recordStall (endpoint: string): void {
    this.entryOf(endpoint).stalls += 1
  }

  recordSuccess (endpoint: string): void {
    const entry = this.entries.get(endpoint)
    if (entry === undefined) return
    entry.stalls = 0
    if (entry.state === 'probing') entry.probeSuccesses += 1
  }

  recordProbeFailure (endpoint: string, now = performance.now()): void {
    const entry = this.entries.get(endpoint)
    if (entry?.state === 'probing') eject(entry, now)
  }

  /** Holds every endpoint against its peers; gives the changes. */
  evaluate (samples: readonly EndpointSample[], now = performance.now()): HealthChange[] {
    const changes: HealthChange[] = []
    for (const peers of groupPeers(samples)) {
      const medians = mediansOf(peers.filter((peer) => this.state(peer.name) === 'healthy'))
      for (const sample of peers) {
        const change = this.evaluateOne(sample, peers, medians, now)
        if (change !== undefined) changes.push(change)
      }
    }
    return changes
  }

  forget (endpoint: string): void {
    this.entries.delete(endpoint)
  }

  private evaluateOne (sample: EndpointSample, peers: readonly EndpointSample[], medians: Medians, now: number): HealthChange | undefined {
    const entry = this.entryOf(sample.name)
    if (entry.state === 'ejected') return this.probeWhenDue(sample.name, entry, now)
    const why = sicknessOf(sample, entry, medians, peers.length)
    if (entry.state === 'probing') return this.endProbe(sample.name, entry, why, now)
    if (why === undefined || !this.mayEject(peers)) return undefined
    eject(entry, now)
    return { endpoint: sample.name, state: 'ejected', reason: why }
  }

  private probeWhenDue (endpoint: string, entry: Entry, now: number): HealthChange | undefined {
    if (now < entry.until) return undefined
    entry.state = 'probing'
    entry.probeSuccesses = 0
    return { endpoint, state: 'probing', reason: `put aside ${entry.ejections} times` }
  }

  /** An endpoint whose probes end well but slowly is as sick as before. */
  private endProbe (endpoint: string, entry: Entry, sickness: string | undefined, now: number): HealthChange | undefined {
    if (now < entry.until + MIN_PROBE_MS) return undefined
    if (sickness !== undefined) {
      eject(entry, now)
      return { endpoint, state: 'ejected', reason: sickness }
    }
    if (entry.probeSuccesses < PROBE_SUCCESSES) return undefined
    entry.state = 'healthy'
    entry.stalls = 0
    return { endpoint, state: 'healthy', reason: `${entry.probeSuccesses} probes answered in time` }
  }

  private mayEject (peers: readonly EndpointSample[]): boolean {
    const aside = peers.filter((peer) => this.state(peer.name) !== 'healthy').length
    return peers.length > 1 && aside + 1 <= Math.max(1, Math.floor(peers.length * MAX_EJECTED_SHARE))
  }

  private entryOf (endpoint: string): Entry {
    let entry = this.entries.get(endpoint)
    if (entry === undefined) {
      entry = { state: 'healthy', ejections: 0, until: 0, probeSuccesses: 0, stalls: 0 }
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
  entry.until = now + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** entry.ejections)
  entry.ejections += 1
  entry.stalls = 0
}

function sicknessOf (sample: EndpointSample, entry: Entry, medians: Medians, peers: number): string | undefined {
  if (entry.stalls > 0) return 'a stream stood still'
  if (sample.failuresInRow >= MAX_FAILURES_IN_ROW) return `${sample.failuresInRow} failures in a row`
  if (peers < MIN_PEERS) return undefined
  if (isOutlier(sample.tokenGapMs, medians.tokenGapMs)) {
    return `${sample.tokenGapMs.toFixed(0)} ms between tokens, peers ${medians.tokenGapMs.toFixed(0)} ms`
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

function mediansOf (samples: readonly EndpointSample[]): Medians {
  return {
    tokenGapMs: median(samples.map((sample) => sample.tokenGapMs)),
    firstTokenMs: median(samples.map((sample) => sample.firstTokenMs))
  }
}

function median (values: number[]): number {
  const known = values.filter((value) => value > 0).sort((left, right) => left - right)
  return known[Math.floor(known.length / 2)] ?? 0
}
