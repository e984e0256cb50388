/**
 * Sums over the engines of a service. An engine counts with the values of its last update, so that a decision needn't visit every
 * engine of a large fleet.
 */
import { type EndpointState } from './endpoint-state.ts'

interface EngineValues {
  slots: number
  pauseMs: number
  pauseSensitiveStreams: number
}

const ZERO: EngineValues = { slots: 0, pauseMs: 0, pauseSensitiveStreams: 0 }

export class EngineTotals {
  private readonly valuesByEngine = new Map<EndpointState, EngineValues>()
  private readonly sums: EngineValues = { ...ZERO }

  /** Replaces the values of an engine by its present ones. */
  update (engine: EndpointState): void {
    const current = {
      slots: engine.description.slots, pauseMs: engine.prefill.pauseMs, pauseSensitiveStreams: engine.pauseSensitiveStreams
    }
    this.replace(this.valuesByEngine.get(engine), current)
    this.valuesByEngine.set(engine, current)
  }

  /** Removes an engine that accepts no new requests. */
  remove (engine: EndpointState): void {
    this.replace(this.valuesByEngine.get(engine), ZERO)
    this.valuesByEngine.delete(engine)
  }

  get meanSlots (): number {
    return this.valuesByEngine.size === 0 ? 0 : this.sums.slots / this.valuesByEngine.size
  }

  get meanPauseMs (): number {
    return this.valuesByEngine.size === 0 ? 0 : this.sums.pauseMs / this.valuesByEngine.size
  }

  /** The number of pause-sensitive streams at all engines. */
  get pauseSensitiveStreams (): number {
    return this.sums.pauseSensitiveStreams
  }

  private replace (before: EngineValues = ZERO, after: EngineValues): void {
    this.sums.slots += after.slots - before.slots
    this.sums.pauseMs += after.pauseMs - before.pauseMs
    this.sums.pauseSensitiveStreams += after.pauseSensitiveStreams - before.pauseSensitiveStreams
  }
}
