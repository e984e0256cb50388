/**
 * How many endpoints a service should have in one data centre. It answers demand that rises within a boot time or jumps at
 * once, falls slowly, and scatters: up at the first look that shows it, ahead by the trend; down only after the demand has
 * stayed lower for several boot times. No sockets and no timers; the time is an argument.
 */
import { type Scaling } from '@gullwall/config.document'
import { DemandHistory } from './demand-history.ts'

/** What is seen of a service in a data centre at one look. */
export interface Demand {
  /** Endpoints that take work. */
  ready: number
  /** Slots of all of these. */
  slots: number
  running: number
  /** Prompt tokens that were sent there and are probably not read yet. */
  unreadTokens: number
  /** How fast one endpoint reads. */
  tokensPerMs: number
  /** The wait for the reading of prompts that is aimed at, in ms. */
  aimedWaitMs: number
  /** Whether every control process has told what its entries have under way; a part of the demand looks like a lower one. */
  isWhole: boolean
}

export interface ScalingDecision {
  desired: number
  /** The inputs, for the log. */
  why: string
}

/**
 * The share of the slots that is meant to be taken. The rest bears what comes within a look and the scatter of arrivals; at
 * full slots demand can't be seen, since what waits does so before the endpoints, and this share then lets the number grow by 1.4.
 */
const BUSY_SHARE = 0.7
/** So much of an endpoint is not worth one, as scatter about a whole number would order it. */
const NEGLIGIBLE = 0.1
/** An endpoint is kept where the highest load was within this of needing it, as a share of the load and at least of one endpoint. */
const KEEP_SHARE = 0.1
const LEAST_KEEP = 0.25
/** Demand must have been lower for so many boot times before fewer are ordered: an endpoint that comes back costs one. */
const HOLD_BOOTS = 4
/** It is no shorter where endpoints boot fast, in ms: requests of a minute's streams come and go together. */
const LEAST_HOLD_MS = 60_000
/** Nor longer than this where they boot slowly, in ms; it bounds what is remembered. */
const MOST_HOLD_MS = 1_800_000
/** Nothing is decided before so much was seen, in ms: two heartbeats, after which all endpoints are known. */
const SETTLE_MS = 5000

export class ScalingPolicy {
  private history = new DemandHistory()
  private latest: Demand | undefined
  private slotsEach = 1
  private wholeSince: number | undefined

  /** Takes a look at the demand. */
  observe (demand: Demand, scaling: Scaling, now: number): void {
    if (demand.ready > 0) this.slotsEach = Math.max(1, demand.slots / demand.ready)
    if (this.history.isInterrupted(now)) {
      this.history = new DemandHistory()
      this.wholeSince = undefined
    }
    this.latest = demand
    this.wholeSince = demand.isWhole ? this.wholeSince ?? now : undefined
    this.history.add({ at: now, load: this.loadOf(demand), horizonMs: scaling.bootMs }, computeStabilisationMs(scaling))
  }

  /**
   * Gives the next order, where one is due.
   * @param ordered the number that was ordered last; none if there was no order yet
   */
  decide (ordered: number | undefined, scaling: Scaling, now: number): ScalingDecision | undefined {
    const { latest, history } = this
    const newest = history.newest
    if (latest === undefined || newest === undefined || history.spanMs < SETTLE_MS) return undefined
    const held = ordered ?? latest.ready
    const wanted = within(scaling, Math.ceil(newest.forecast - NEGLIGIBLE))
    if (wanted > held) return { desired: wanted, why: this.explain(held, 'up', now) }
    const holdMs = computeStabilisationMs(scaling)
    // What boots is there for a demand that may only be waiting for it.
    const isBooting = latest.ready < held
    const isWhole = this.wholeSince !== undefined && now - this.wholeSince >= SETTLE_MS
    if (isBooting || !isWhole || history.spanMs < holdMs) return undefined
    const most = history.findMaxForecast(holdMs)
    const kept = within(scaling, Math.ceil(most + Math.max(LEAST_KEEP, KEEP_SHARE * most)))
    return kept < held ? { desired: kept, why: this.explain(held, `not more for ${holdMs} ms`, now) } : undefined
  }

  /** How many endpoints the demand keeps as busy as they are meant to be. */
  private loadOf ({ running, unreadTokens, tokensPerMs, aimedWaitMs }: Demand): number {
    return Math.max(running / (this.slotsEach * BUSY_SHARE), unreadTokens / tokensPerMs / aimedWaitMs)
  }

  private explain (held: number, direction: string, now: number): string {
    const { ready, slots, running, unreadTokens, tokensPerMs, aimedWaitMs } = this.latest as Demand
    const { at, load, forecast } = this.history.newest ?? { at: now, load: 0, forecast: 0 }
    const waitMs = unreadTokens / tokensPerMs / Math.max(1, ready)
    return `${direction} from ${held}: ${running} running on ${slots} slots of ${ready} ready, ${unreadTokens} tokens unread, ` +
      `wait ${Math.round(waitMs)} ms of ${Math.round(aimedWaitMs)}, load ${load.toFixed(2)}, foreseen ${forecast.toFixed(2)}, ` +
      `seen ${Math.round(now - at)} ms ago, for ${Math.round(this.history.spanMs)} ms`
  }
}

/** For how long demand must have been lower. */
export function computeStabilisationMs ({ bootMs }: Pick<Scaling, 'bootMs'>): number {
  return Math.min(MOST_HOLD_MS, Math.max(LEAST_HOLD_MS, HOLD_BOOTS * bootMs))
}

/** A data centre without an endpoint shows no demand and would never get one again; so one is left where any may be. */
function within ({ min, max }: Scaling, wanted: number): number {
  return Math.min(max, Math.max(min, 1, wanted))
}
