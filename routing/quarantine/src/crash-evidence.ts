/**
 * What is known of crashed endpoints and of what ran there, and which requests are held for it. Deterministic, without
 * a clock: whoever replicates it decides when it is judged and when what is old is forgotten.
 */
import { findCrashCauses } from './crash-causes.ts'

/** An endpoint that has crashed and what ran there, as one box saw it. */
export interface Crash {
  /** Names one life of the endpoint. */
  endpoint: string
  /** Fingerprints of requests. */
  requests: string[]
}

/** Crashes that are kept; the oldest gives way. At 70 failed boxes a day with 20 engines each, two hours' worth. */
const MAX_CRASHES = 128
/** Requests that are kept of one crash: twice what an engine runs at once. */
const MAX_REQUESTS = 128
/** Requests that are held, and such that were; the oldest gives way. */
const MAX_HELD = 1000

/** The evidence as it is kept in a snapshot. */
export interface EvidenceSnapshot {
  crashes: Array<[endpoint: string, requests: string[]]>
  held: string[]
  suspected: string[]
  isJudged: boolean
}

export class CrashEvidence {
  /** What ran at each endpoint that crashed, the oldest first. */
  private readonly crashes = new Map<string, Set<string>>()
  private readonly heldNow = new Set<string>()
  /** Requests that were held, until they have run well. */
  private readonly suspected = new Set<string>()
  private judged = true

  /** Whether nothing has come in since the last judgement. */
  get isEvaluated (): boolean {
    return this.judged
  }

  get quarantined (): ReadonlySet<string> {
    return this.heldNow
  }

  /** The endpoints whose crashes are kept. */
  get endpoints (): string[] {
    return [...this.crashes.keys()]
  }

  /** Requests that were running when an endpoint crashed and are not held. */
  get suspectCount (): number {
    const all = new Set([...this.crashes.values()].flatMap((requests) => [...requests]))
    return [...all].filter((fingerprint) => !this.heldNow.has(fingerprint)).length
  }

  /** Takes what a box saw; the same again changes nothing, and what several boxes saw of one crash adds up. */
  recordCrashes (crashes: readonly Crash[]): void {
    for (const { endpoint, requests } of crashes) {
      const known = this.crashes.get(endpoint) ?? new Set()
      const fresh = requests.filter((fingerprint) => !known.has(fingerprint)).slice(0, MAX_REQUESTS - known.size)
      if (fresh.length === 0) continue
      for (const fingerprint of fresh) known.add(fingerprint)
      this.crashes.set(endpoint, known)
      this.judged = false
    }
    dropOldest(this.crashes, MAX_CRASHES)
  }

  /** Clears requests that have run without a crash; gives those of them that were held. */
  clearRequests (requests: readonly string[]): string[] {
    for (const fingerprint of requests) {
      this.suspected.delete(fingerprint)
      for (const crash of this.crashes.values()) crash.delete(fingerprint)
    }
    return requests.filter((fingerprint) => this.heldNow.delete(fingerprint))
  }

  /** Holds the requests that the crashes tell of; gives those that are newly held, and those that gave way to them. */
  evaluate (): { held: string[], released: string[] } {
    const held = findCrashCauses({ crashes: this.crashes.values(), quarantined: this.heldNow, formerlyQuarantined: this.suspected })
    this.judged = true
    for (const fingerprint of held) {
      this.heldNow.add(fingerprint)
      this.suspected.delete(fingerprint)
    }
    return { held, released: dropOldest(this.heldNow, MAX_HELD) }
  }

  /** In how many kept crashes a request was running. */
  countCrashes (fingerprint: string): number {
    return [...this.crashes.values()].filter((requests) => requests.has(fingerprint)).length
  }

  /** Forgets old crashes. */
  forgetCrashes (endpoints: readonly string[]): void {
    for (const endpoint of endpoints) this.crashes.delete(endpoint)
  }

  /** Lets held requests run again; one more crash holds them anew. Gives those that were held. */
  releaseRequests (requests: readonly string[]): string[] {
    const released = requests.filter((fingerprint) => this.heldNow.delete(fingerprint))
    for (const fingerprint of released) {
      // Its old crashes would hold it again at once.
      for (const crash of this.crashes.values()) crash.delete(fingerprint)
      this.suspected.add(fingerprint)
    }
    dropOldest(this.suspected, MAX_HELD)
    return released
  }

  createSnapshot (): EvidenceSnapshot {
    const crashes = [...this.crashes].map(([endpoint, requests]): [string, string[]] => [endpoint, [...requests]])
    return { crashes, held: [...this.heldNow], suspected: [...this.suspected], isJudged: this.judged }
  }

  restore ({ crashes, held, suspected, isJudged }: EvidenceSnapshot): void {
    this.crashes.clear()
    this.heldNow.clear()
    this.suspected.clear()
    for (const [endpoint, requests] of crashes) this.crashes.set(endpoint, new Set(requests))
    for (const fingerprint of held) this.heldNow.add(fingerprint)
    for (const fingerprint of suspected) this.suspected.add(fingerprint)
    this.judged = isJudged
  }
}

/** Drops the first entries beyond a number; gives their keys. */
function dropOldest<Key> (kept: Map<Key, unknown> | Set<Key>, most: number): Key[] {
  const dropped = [...kept.keys()].slice(0, Math.max(0, kept.size - most))
  for (const key of dropped) kept.delete(key)
  return dropped
}
