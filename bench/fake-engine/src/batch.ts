/**
 * Continuous batching: each step gives one token to every stream in the batch,
 * and takes longer the larger the batch. Waiting streams join by priority.
 */
import { type Run } from './ledger.ts'

/** How fast an engine is. */
export interface EngineSpeed {
  /** Time of a step with one stream, in ms. */
  stepMs: number
  /** What each further stream adds to a step, in ms. */
  perStreamMs: number
  prefillMsPerToken: number
  maxBatch: number
  /** Openings of prompts that the cache holds. */
  prefixCacheEntries: number
}

export const DEFAULT_SPEED: EngineSpeed = { stepMs: 12, perStreamMs: 1, prefillMsPerToken: 0.2, maxBatch: 64, prefixCacheEntries: 200 }

export interface Stream {
  priority: number
  prefillMs: number
  run: Run
  /** Emits the next token; true if it was the last. */
  emit: () => boolean
}

export type Fault = { kind: 'none' } | { kind: 'slow', factor: number } | { kind: 'freeze' }

export class Batch {
  fault: Fault = { kind: 'none' }
  private readonly running = new Set<Stream>()
  private readonly waiting: Stream[] = []
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly speed: EngineSpeed) {}

  get inFlight (): number {
    return this.running.size + this.waiting.length
  }

  add (stream: Stream): void {
    this.waiting.push(stream)
    this.schedule()
  }

  remove (stream: Stream): void {
    this.running.delete(stream)
    const place = this.waiting.indexOf(stream)
    if (place >= 0) this.waiting.splice(place, 1)
  }

  streams (): Stream[] {
    return [...this.running, ...this.waiting]
  }

  stop (): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  /** Must be called when a fault has ended. */
  schedule (): void {
    if (this.timer !== undefined || this.inFlight === 0 || this.fault.kind === 'freeze') return
    const prefillMs = this.admit()
    const factor = this.fault.kind === 'slow' ? this.fault.factor : 1
    const stepMs = (this.speed.stepMs + this.speed.perStreamMs * (this.running.size - 1)) * factor
    this.timer = setTimeout(() => {
      this.timer = undefined
      this.step(stepMs)
      this.schedule()
    }, stepMs + prefillMs * factor)
  }

  /** Lets waiting streams join, the highest priority first; gives the time of their prefill. */
  private admit (): number {
    let prefillMs = 0
    while (this.running.size < this.speed.maxBatch && this.waiting.length > 0) {
      const next = this.waiting.reduce((best, stream) => stream.priority < best.priority ? stream : best)
      this.waiting.splice(this.waiting.indexOf(next), 1)
      this.running.add(next)
      prefillMs += next.prefillMs
    }
    return prefillMs
  }

  private step (stepMs: number): void {
    if (this.fault.kind === 'freeze') return
    const share = stepMs / Math.max(1, this.running.size)
    for (const stream of [...this.running]) {
      stream.run.engineMs += share
      stream.run.tokens += 1
      if (stream.emit()) this.running.delete(stream)
    }
  }
}
