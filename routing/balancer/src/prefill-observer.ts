/**
 * What is known of how an engine reads prompts: how fast, for which share of the time, and which pauses the streams there
 * have meanwhile. Engines of one service differ, and a pause while prompts are read is what a stream with a short target
 * does not bear. All of it is learnt from attempts, nothing is reported. An entry learns from its own and tells control what
 * it saw; control learns from all that its entries saw, which is soon enough where an entry meets an engine rarely.
 */

/** With so many tokens to read, an engine reads all the time until the next sample: two samples of 60 ms at 36 a ms. */
const BUSY_TOKENS = 4000
/** What one sample counts for in the share; samples come each 60 ms, so that the share follows 1.5 s. */
const SHARE_WEIGHT = 0.04

/** What is assumed of an engine that has not been observed: the slowest of the users (36.7 read alone), beside a few streams. */
const UNKNOWN_TOKENS_PER_MS = 36
/** A prompt shorter than this tells more of the network than of the engine. */
const MIN_TIMED_TOKENS = 1500
/** Shorter times are those of prompts that were kept after all, in ms. */
const MIN_TIMED_MS = 10
const SPEED_WEIGHT = 0.1
/** One observation moves the speed by no more than to a half or to twice of what it was. */
const SPEED_STEP = 2
/** How far from what is assumed of an unknown engine the speed may be learnt, either way. */
const SPEED_RANGE = 2

/** What is assumed of an engine that has not been observed, in ms. */
const UNKNOWN_PAUSE_MS = 200
/** Pauses shorter than this are those of an engine that did not read, in ms. */
const MIN_READING_PAUSE_MS = 20
/** A longer pause moves the estimate faster than a shorter one: it follows the long ones, about nine in ten lie below. */
const LONGER_PAUSE_WEIGHT = 0.1
const SHORTER_PAUSE_WEIGHT = 0.01
/** A pause counts for no more than so many times the estimate: an engine that stands still does not read. */
const PAUSE_STEP = 2

/** What is kept at most until it is told: more of one engine in so short a time tells nothing new. */
const MAX_UNTOLD = 16

/** How long it took until a prompt had been read. */
export interface PrefillSample {
  /** Those of the prompt that had to be read. */
  tokens: number
  /** Those of other prompts that went before. */
  aheadTokens: number
  tookMs: number
}

/** What an entry saw since it last told. */
export interface PrefillObservations {
  pauses: number[]
  reads: PrefillSample[]
}

export class PrefillObserver {
  /** How fast it reads, with all that runs beside it, in tokens a ms. */
  tokensPerMs = UNKNOWN_TOKENS_PER_MS
  /** How long streams there pause while it reads, in ms. */
  pauseMs = UNKNOWN_PAUSE_MS
  /** The share of the last seconds in which it read, from 0 to 1. */
  busyShare = 0
  private busyAt = -Infinity
  private seen: PrefillObservations = { pauses: [], reads: [] }

  /** Takes a sample of the tokens that wait to be read there; samples come at even intervals, or one for several of them. */
  sample (backlogTokens: number, now: number, intervals = 1): void {
    const isReading = Math.min(1, backlogTokens / BUSY_TOKENS)
    if (isReading === 1) this.busyAt = now
    const weight = intervals === 1 ? SHARE_WEIGHT : 1 - (1 - SHARE_WEIGHT) ** intervals
    this.busyShare += weight * (isReading - this.busyShare)
  }

  /** Notes that a prompt has been read, after all that was to be read before it. */
  recordPrefill (read: PrefillSample): void {
    if (read.tokens < MIN_TIMED_TOKENS || read.tookMs < MIN_TIMED_MS) return
    if (this.seen.reads.length < MAX_UNTOLD) this.seen.reads.push(read)
    this.learnPrefill(read)
  }

  /** Learns from a prompt that was long enough to tell something. */
  learnPrefill ({ tokens, aheadTokens, tookMs }: PrefillSample): void {
    const seen = clamp((tokens + aheadTokens) / tookMs, this.tokensPerMs / SPEED_STEP, this.tokensPerMs * SPEED_STEP)
    const learnt = this.tokensPerMs + SPEED_WEIGHT * (seen - this.tokensPerMs)
    this.tokensPerMs = clamp(learnt, UNKNOWN_TOKENS_PER_MS / SPEED_RANGE, UNKNOWN_TOKENS_PER_MS * SPEED_RANGE)
  }

  /** Notes the time between two events of a stream there; it counts if the engine read in between. */
  recordPause (pauseMs: number, startedAt: number): void {
    if (this.busyAt < startedAt || pauseMs < MIN_READING_PAUSE_MS) return
    if (this.seen.pauses.length < MAX_UNTOLD) this.seen.pauses.push(Math.round(pauseMs))
    this.learnPause(pauseMs)
  }

  /** Learns from a pause in which the engine read. */
  learnPause (pauseMs: number): void {
    const seen = Math.min(pauseMs, PAUSE_STEP * this.pauseMs)
    const weight = seen > this.pauseMs ? LONGER_PAUSE_WEIGHT : SHORTER_PAUSE_WEIGHT
    this.pauseMs += weight * (seen - this.pauseMs)
  }

  /** Takes what was learnt from the observations of many. */
  adopt ({ tokensPerMs, pauseMs }: Pick<PrefillObserver, 'tokensPerMs' | 'pauseMs'>): void {
    this.tokensPerMs = tokensPerMs
    this.pauseMs = pauseMs
  }

  /** Whether something was seen that has not been told. */
  get hasObservations (): boolean {
    return this.seen.pauses.length + this.seen.reads.length > 0
  }

  /** What was seen since the last call; undefined if nothing. */
  takeObservations (): PrefillObservations | undefined {
    const { seen } = this
    if (!this.hasObservations) return undefined
    this.seen = { pauses: [], reads: [] }
    return seen
  }
}

function clamp (value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value))
}
