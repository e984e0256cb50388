/**
 * The endpoint crashes seen so far, the requests that were running there, and the requests that are quarantined as a result.
 * The state is deterministic and has no clock: the replicating caller decides when to evaluate and when to drop old crashes.
 */
import { findCrashCauses } from './crash-causes.ts'
import { dropOldest } from './drop-oldest.ts'

/** A crash of an endpoint, with the requests of one box that were running there. */
export interface Crash {
  /** The incarnation of the endpoint. */
  endpoint: string
  /** Fingerprints of the requests. */
  requests: string[]
}

/** At this number the oldest crash is dropped. It covers two hours at 70 failed boxes a day with 20 engines each. */
const MAX_CRASHES = 128
/** The number of requests kept for one crash: twice the concurrent requests of an engine. */
const MAX_REQUESTS = 128
/** The number of quarantined and of formerly quarantined requests that are kept each; the oldest is dropped. */
const MAX_QUARANTINED = 1000

/** The evidence as stored in a snapshot. `suspected` are formerly quarantined requests. */
export interface EvidenceSnapshot {
  crashes: Array<[endpoint: string, requests: string[]]>
  held: string[]
  suspected: string[]
  isJudged: boolean
}

export class CrashEvidence {
  /** The requests running at each crashed incarnation, oldest crash first. */
  private readonly crashes = new Map<string, Set<string>>()
  private readonly quarantinedRequests = new Set<string>()
  /** Requests released from quarantine that have not completed since. */
  private readonly formerlyQuarantined = new Set<string>()
  private isEvaluationCurrent = true

  /** Whether no crash was recorded since the last evaluation. */
  get isEvaluated (): boolean {
    return this.isEvaluationCurrent
  }

  /** The fingerprints of the quarantined requests. */
  get quarantined (): ReadonlySet<string> {
    return this.quarantinedRequests
  }

  /** The incarnations whose crashes are kept. */
  get endpoints (): string[] {
    return [...this.crashes.keys()]
  }

  /** The number of requests that were running when an endpoint crashed and are not quarantined. */
  get suspectCount (): number {
    const all = new Set([...this.crashes.values()].flatMap((requests) => [...requests]))
    return [...all].filter((fingerprint) => !this.quarantinedRequests.has(fingerprint)).length
  }

  /** Records crashes. Repeated reports change nothing, and reports of several boxes about one crash are merged. */
  recordCrashes (crashes: readonly Crash[]): void {
    for (const { endpoint, requests } of crashes) {
      const known = this.crashes.get(endpoint) ?? new Set()
      const added = requests.filter((fingerprint) => !known.has(fingerprint)).slice(0, MAX_REQUESTS - known.size)
      if (added.length === 0) continue
      for (const fingerprint of added) known.add(fingerprint)
      this.crashes.set(endpoint, known)
      this.isEvaluationCurrent = false
    }
    dropOldest(this.crashes, MAX_CRASHES)
  }

  /**
   * Removes all evidence against requests that completed without a crash.
   * @returns the requests that leave quarantine
   */
  clearRequests (requests: readonly string[]): string[] {
    for (const fingerprint of requests) {
      this.formerlyQuarantined.delete(fingerprint)
      for (const crash of this.crashes.values()) crash.delete(fingerprint)
    }
    return requests.filter((fingerprint) => this.quarantinedRequests.delete(fingerprint))
  }

  /**
   * Quarantines the requests that the recorded crashes indicate.
   * @returns the newly quarantined requests, and the oldest ones that were released because the quarantine is full
   */
  evaluate (): { held: string[], released: string[] } {
    const held = findCrashCauses({
      crashes: this.crashes.values(), quarantined: this.quarantinedRequests, formerlyQuarantined: this.formerlyQuarantined
    })
    this.isEvaluationCurrent = true
    for (const fingerprint of held) {
      this.quarantinedRequests.add(fingerprint)
      this.formerlyQuarantined.delete(fingerprint)
    }
    return { held, released: dropOldest(this.quarantinedRequests, MAX_QUARANTINED) }
  }

  /** Counts the kept crashes at which a request was running. */
  countCrashes (fingerprint: string): number {
    return [...this.crashes.values()].filter((requests) => requests.has(fingerprint)).length
  }

  /** Whether any of some requests was running at the crash of an incarnation. */
  hasAnyAt (endpoint: string, requests: ReadonlySet<string>): boolean {
    return [...this.crashes.get(endpoint) ?? []].some((fingerprint) => requests.has(fingerprint))
  }

  /** Whether a request was running at none but these crashes, and at one of them. */
  isOnlyAt (fingerprint: string, endpoints: ReadonlySet<string>): boolean {
    const at = [...this.crashes].filter(([, requests]) => requests.has(fingerprint)).map(([endpoint]) => endpoint)
    return at.length > 0 && at.every((endpoint) => endpoints.has(endpoint))
  }

  /** Drops the crashes of these incarnations. */
  forgetCrashes (endpoints: readonly string[]): void {
    for (const endpoint of endpoints) this.crashes.delete(endpoint)
  }

  /**
   * Releases requests from quarantine. One further crash quarantines them again.
   * @returns the requests that were quarantined
   */
  releaseRequests (requests: readonly string[]): string[] {
    const released = requests.filter((fingerprint) => this.quarantinedRequests.delete(fingerprint))
    for (const fingerprint of released) {
      // With its earlier crashes the request would be quarantined again at once.
      for (const crash of this.crashes.values()) crash.delete(fingerprint)
      this.formerlyQuarantined.add(fingerprint)
    }
    dropOldest(this.formerlyQuarantined, MAX_QUARANTINED)
    return released
  }

  createSnapshot (): EvidenceSnapshot {
    const crashes = [...this.crashes].map(([endpoint, requests]): [string, string[]] => [endpoint, [...requests]])
    return { crashes, held: [...this.quarantinedRequests], suspected: [...this.formerlyQuarantined], isJudged: this.isEvaluationCurrent }
  }

  restore ({ crashes, held, suspected, isJudged }: EvidenceSnapshot): void {
    this.crashes.clear()
    this.quarantinedRequests.clear()
    this.formerlyQuarantined.clear()
    for (const [endpoint, requests] of crashes) this.crashes.set(endpoint, new Set(requests))
    for (const fingerprint of held) this.quarantinedRequests.add(fingerprint)
    for (const fingerprint of suspected) this.formerlyQuarantined.add(fingerprint)
    this.isEvaluationCurrent = isJudged
  }
}
