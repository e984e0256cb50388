/** How engines read prompts and how attempts end there, learnt from what many entries saw of them. */
import { OutcomeObserver, PrefillObserver } from '@gullwall/routing.balancer'
import { type Observation, type Reading } from '@gullwall/transport.messages'

/** What nobody has seen for so long is forgotten, in ms: the engine has ended, or is not used. */
const KEPT_MS = 60_000
/** Smaller changes, as a share, are not told: they move no choice. */
const TOLD_CHANGE = 0.04
/** The same of shares of failures, absolutely. */
const TOLD_SHARE_CHANGE = 0.05

interface Observed {
  observer: PrefillObserver
  outcomes: OutcomeObserver
  seenAt: number
  told: Reading | undefined
}

export class ReadingTable {
  private readonly observed = new Map<string, Observed>()

  /** Learns from what an entry saw. */
  learn (observations: readonly Observation[], now: number): void {
    for (const { incarnation, pauses, reads, good = 0, failed = 0 } of observations) {
      const known = this.observed.get(incarnation) ?? newlyObserved(now)
      this.observed.set(incarnation, known)
      known.seenAt = now
      for (const pauseMs of pauses) known.observer.learnPause(pauseMs)
      for (const read of reads) known.observer.learnPrefill(read)
      known.outcomes.learn({ good, failed }, now)
    }
  }

  /** All that was learnt. */
  all (now: number): Reading[] {
    return [...this.observed].map(([incarnation, known]) => readingOf(incarnation, known, now))
  }

  /** What has changed since it was last taken. */
  takeChanged (now: number): Reading[] {
    const changed: Reading[] = []
    for (const [incarnation, known] of this.observed) {
      const reading = readingOf(incarnation, known, now)
      if (known.told !== undefined && isAlike(known.told, reading)) continue
      known.told = reading
      changed.push(reading)
    }
    return changed
  }

  forgetOld (now: number): void {
    for (const [incarnation, { seenAt }] of this.observed) {
      if (now - seenAt > KEPT_MS) this.observed.delete(incarnation)
    }
  }
}

function newlyObserved (now: number): Observed {
  return { observer: new PrefillObserver(), outcomes: new OutcomeObserver(), seenAt: now, told: undefined }
}

function readingOf (incarnation: string, { observer: { tokensPerMs, pauseMs }, outcomes }: Observed, now: number): Reading {
  const failureShare = Math.round(100 * outcomes.failureShareAt(now)) / 100
  return { incarnation, tokensPerMs: Math.round(100 * tokensPerMs) / 100, pauseMs: Math.round(pauseMs), failureShare }
}

function isAlike (left: Reading, right: Reading): boolean {
  const isAlikeInFailures = Math.abs((left.failureShare ?? 0) - (right.failureShare ?? 0)) < TOLD_SHARE_CHANGE
  return isNear(left.tokensPerMs, right.tokensPerMs) && isNear(left.pauseMs, right.pauseMs) && isAlikeInFailures
}

function isNear (left: number, right: number): boolean {
  return Math.abs(left - right) <= TOLD_CHANGE * left
}
