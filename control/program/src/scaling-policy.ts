/**
 * Decides how many endpoints a service should have in one data centre. The number is raised at the first sample that shows a higher
 * demand, and ahead of a rising trend by one boot time. It is lowered only after the demand was lower for several boot times, so that
 * scatter does not change it. The policy has no sockets and no timers; time is an argument.
 */
import { type Scaling } from '@gullwall/config.document'
import { DemandHistory } from './demand-history.ts'

/** One sample of the demand for a service in a data centre. */
export interface Demand {
  /** Number of endpoints that accept requests. */
  readyEndpoints: number
  /** Total slots of these endpoints. */
  slots: number
  /** Requests in progress. */
  running: number
  /** Prompt tokens that were sent to the endpoints and are probably not read yet. */
  unreadTokens: number
  /** Reading speed of one endpoint. */
  tokensPerMs: number
  /** Target for the wait until earlier prompts are read, in ms. */
  targetWaitMs: number
  /** Whether the load of the entries of all control processes is included. Partial data looks like a lower demand. */
  isComplete: boolean
}

export interface ScalingDecision {
  desired: number
  /** The inputs of the decision, for the log. */
  reason: string
}

/**
 * Target share of used slots. The free slots absorb the arrivals until the next sample and their scatter. At full slots the demand is
 * not visible, since requests wait before they reach the endpoints. The share then lets the number grow by a factor of 1.4.
 */
const TARGET_UTILISATION = 0.7
/** A fraction of an endpoint below this is rounded down. Otherwise scatter around a whole number would order another endpoint. */
const ROUNDING_TOLERANCE = 0.1
/** Margin above the highest load that is kept when the number is lowered, as a share of the load. */
const SCALE_DOWN_MARGIN_SHARE = 0.1
/** Smallest margin above the highest load, in endpoints. */
const MIN_SCALE_DOWN_MARGIN = 0.25
/** Stabilisation time before the number is lowered, in boot times. An endpoint that is needed again costs one boot time. */
const STABILISATION_BOOTS = 4
/** Shortest stabilisation time, in ms. Streams that last about a minute start and end together. */
const MIN_STABILISATION_MS = 60_000
/** Longest stabilisation time, in ms. It bounds the number of kept samples. */
const MAX_STABILISATION_MS = 1_800_000
/** Shortest observation time before a decision, in ms. It covers two heartbeats, after which all endpoints are known. */
const MIN_OBSERVATION_MS = 5000

export class ScalingPolicy {
  private history = new DemandHistory()
  private latest: Demand | undefined
  private slotsPerEndpoint = 1
  private completeSince: number | undefined

  /** Adds a sample of the demand. */
  observe (demand: Demand, scaling: Scaling, now: number): void {
    if (demand.readyEndpoints > 0) this.slotsPerEndpoint = Math.max(1, demand.slots / demand.readyEndpoints)
    if (this.history.isInterrupted(now)) {
      this.history = new DemandHistory()
      this.completeSince = undefined
    }
    this.latest = demand
    this.completeSince = demand.isComplete ? this.completeSince ?? now : undefined
    this.history.add({ at: now, load: this.computeLoad(demand), horizonMs: scaling.bootMs }, computeStabilisationMs(scaling))
  }

  /**
   * Returns the next order, or undefined if the number should not change.
   * @param ordered the number of the last order; undefined if there was none
   */
  decide (ordered: number | undefined, scaling: Scaling, now: number): ScalingDecision | undefined {
    const { latest, history } = this
    const newest = history.newest
    if (latest === undefined || newest === undefined || history.spanMs < MIN_OBSERVATION_MS) return undefined
    const current = ordered ?? latest.readyEndpoints
    const required = clampToLimits(scaling, Math.ceil(newest.forecast - ROUNDING_TOLERANCE))
    if (required > current) return { desired: required, reason: this.explain(current, 'up', now) }
    const stabilisationMs = computeStabilisationMs(scaling)
    // The demand may be low only because requests wait for the endpoints that are booting.
    const isBooting = latest.readyEndpoints < current
    const isComplete = this.completeSince !== undefined && now - this.completeSince >= MIN_OBSERVATION_MS
    if (isBooting || !isComplete || history.spanMs < stabilisationMs) return undefined
    const maxForecast = history.findMaxForecast(stabilisationMs)
    const lower = clampToLimits(scaling, Math.ceil(maxForecast + Math.max(MIN_SCALE_DOWN_MARGIN, SCALE_DOWN_MARGIN_SHARE * maxForecast)))
    return lower < current ? { desired: lower, reason: this.explain(current, `down after ${stabilisationMs} ms of lower demand`, now) } : undefined
  }

  /** Returns the number of endpoints that the demand keeps at the target utilisation. */
  private computeLoad ({ running, unreadTokens, tokensPerMs, targetWaitMs }: Demand): number {
    return Math.max(running / (this.slotsPerEndpoint * TARGET_UTILISATION), unreadTokens / tokensPerMs / targetWaitMs)
  }

  private explain (current: number, direction: string, now: number): string {
    const { readyEndpoints, slots, running, unreadTokens, tokensPerMs, targetWaitMs } = this.latest as Demand
    const { at, load, forecast } = this.history.newest ?? { at: now, load: 0, forecast: 0 }
    const waitMs = unreadTokens / tokensPerMs / Math.max(1, readyEndpoints)
    return `${direction} from ${current}: ${running} running on ${slots} slots of ${readyEndpoints} ready, ${unreadTokens} tokens unread, ` +
      `wait ${Math.round(waitMs)} ms of ${Math.round(targetWaitMs)} ms, load ${load.toFixed(2)}, forecast ${forecast.toFixed(2)}, ` +
      `sampled ${Math.round(now - at)} ms ago, observed for ${Math.round(this.history.spanMs)} ms`
  }
}

/** Returns how long the demand must have been lower before the number is lowered, in ms. */
export function computeStabilisationMs ({ bootMs }: Pick<Scaling, 'bootMs'>): number {
  return Math.min(MAX_STABILISATION_MS, Math.max(MIN_STABILISATION_MS, STABILISATION_BOOTS * bootMs))
}

/** Limits a number to the bounds of the service. At least one endpoint stays, since a data centre without endpoints shows no demand. */
function clampToLimits ({ min, max }: Scaling, count: number): number {
  return Math.min(max, Math.max(min, 1, count))
}
