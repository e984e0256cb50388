/** The openings of prompts that an engine has cached, the longest unused dropped first. */
import { hash } from '@gullwall/bench.answers'

/** A change of the cache, as an engine publishes it: late, and now and then not at all. */
export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'evicted'
  prefix: number
  /** When it took place, on the engine's monotonic clock, in ms. */
  at: number
}

const OPENING_CHARACTERS = 64
/** Every so-manieth event is lost. */
const GAP_EVERY = 7
const MAX_EVENTS = 1000
/** How late events are published, in ms. */
const EVENT_LAG_MS = 500

export class PrefixCache {
  private readonly cached = new Set<number>()
  private events: CacheEvent[] = []
  private sequence = 0

  constructor (private readonly maxEntries: number) {}

  /** Looks an opening up and stores it; true if it was there. */
  touch (prompt: string): boolean {
    const prefix = hash(prompt.slice(0, OPENING_CHARACTERS))
    const hit = this.cached.delete(prefix)
    this.cached.add(prefix)
    if (!hit) this.publish('stored', prefix)
    if (this.cached.size > this.maxEntries) this.evictOldest()
    return hit
  }

  eventsSince (sequence: number): CacheEvent[] {
    const latest = performance.now() - EVENT_LAG_MS
    return this.events.filter((event) => event.sequence > sequence && event.at <= latest)
  }

  private evictOldest (): void {
    const oldest = this.cached.values().next().value
    if (oldest === undefined) return
    this.cached.delete(oldest)
    this.publish('evicted', oldest)
  }

  private publish (kind: CacheEvent['kind'], prefix: number): void {
    this.sequence += 1
    if (this.sequence % GAP_EVERY === 0) return
    this.events.push({ sequence: this.sequence, kind, prefix, at: performance.now() })
    if (this.events.length > MAX_EVENTS) this.events = this.events.slice(-MAX_EVENTS / 2)
  }
}
