/** How engines read prompts, learnt from what many entries saw of them. */
import { ReadingObserver } from '@gullwall/routing.balancer'
import { type Observation, type Reading } from '@gullwall/transport.messages'

/** What nobody has seen for so long is forgotten, in ms: the engine has ended, or is not used. */
const KEPT_MS = 60_000
/** Smaller changes, as a share, are not told: they move no choice. */
const TOLD_CHANGE = 0.04

interface Observed {
  observer: ReadingObserver
  seenAt: number
  told: Reading | undefined
}

export class ReadingTable {
  private readonly observed = new Map<string, Observed>()

  /** Learns from what an entry saw. */
  learn (observations: readonly Observation[], now: number): void {
    for (const { incarnation, pauses, reads } of observations) {
      const known = this.observed.get(incarnation) ?? { observer: new ReadingObserver(), seenAt: now, told: undefined }
      this.observed.set(incarnation, known)
      known.seenAt = now
      for (const pauseMs of pauses) known.observer.learnPause(pauseMs)
      for (const read of reads) known.observer.learnRead(read)
    }
  }

  /** All that was learnt. */
  all (): Reading[] {
    return [...this.observed].map(([incarnation, { observer }]) => readingOf(incarnation, observer))
  }

  /** What has changed since it was last taken. */
  takeChanged (): Reading[] {
    const changed: Reading[] = []
    for (const [incarnation, known] of this.observed) {
      const reading = readingOf(incarnation, known.observer)
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

function readingOf (incarnation: string, { tokensPerMs, pauseMs }: ReadingObserver): Reading {
  return { incarnation, tokensPerMs: Math.round(100 * tokensPerMs) / 100, pauseMs: Math.round(pauseMs) }
}

function isAlike (left: Reading, right: Reading): boolean {
  return isNear(left.tokensPerMs, right.tokensPerMs) && isNear(left.pauseMs, right.pauseMs)
}

function isNear (left: number, right: number): boolean {
  return Math.abs(left - right) <= TOLD_CHANGE * left
}
