/**
 * What is added up over the engines of a service. Each engine counts as it was when it was last looked at, so that a large
 * fleet need not be gone through for every decision.
 */
import { type EndpointState } from './endpoint-state.ts'

interface Counted {
  slots: number
  pauseMs: number
  sensitive: number
}

const NOTHING: Counted = { slots: 0, pauseMs: 0, sensitive: 0 }

export class EngineTotals {
  private readonly counted = new Map<EndpointState, Counted>()
  private readonly sums: Counted = { ...NOTHING }

  /** Counts an engine as it is now, in place of what it was. */
  update (engine: EndpointState): void {
    const now = { slots: engine.description.slots, pauseMs: engine.prefill.pauseMs, sensitive: engine.pauseSensitiveStreams }
    this.replace(this.counted.get(engine), now)
    this.counted.set(engine, now)
  }

  /** Leaves out an engine that takes no new work. */
  remove (engine: EndpointState): void {
    this.replace(this.counted.get(engine), NOTHING)
    this.counted.delete(engine)
  }

  get meanSlots (): number {
    return this.counted.size === 0 ? 0 : this.sums.slots / this.counted.size
  }

  get meanPauseMs (): number {
    return this.counted.size === 0 ? 0 : this.sums.pauseMs / this.counted.size
  }

  /** Sensitive streams under way at all engines. */
  get pauseSensitiveStreams (): number {
    return this.sums.sensitive
  }

  private replace (before: Counted = NOTHING, after: Counted): void {
    this.sums.slots += after.slots - before.slots
    this.sums.pauseMs += after.pauseMs - before.pauseMs
    this.sums.sensitive += after.sensitive - before.sensitive
  }
}
