/** Holds the builds that began streams, as entries tell them, and answers entries whose callers take such streams up. */
import { AMBIGUOUS, BindingTable } from '@gullwall/routing.stream-builds'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { type MessageOf } from '@gullwall/transport.messages'

export class StreamBuilds {
  private readonly table = new BindingTable()

  /** Number of bindings that this process holds. */
  get size (): number {
    return this.table.size
  }

  /** Receives the bindings of streams that an entry has begun. */
  receive ({ bindings, records }: MessageOf<'streamBuilds'>): void {
    for (const [key, index, validMs] of records) {
      const binding = bindings[index]
      if (binding !== undefined) this.table.record({ key, binding, validMs })
    }
  }

  /** Answers which build began a stream. */
  answer ({ key }: MessageOf<'streamBuildOf'>): MessageOf<'streamBuild'> {
    const binding = this.table.find(key)
    if (binding === undefined) return { kind: 'streamBuild', found: 'unknown' }
    return binding === AMBIGUOUS ? { kind: 'streamBuild', found: 'ambiguous' } : { kind: 'streamBuild', found: 'known', binding }
  }

  /** Adds the metrics of this process to a registry. */
  addMetrics (registry: Registry): void {
    const bindings = gauge(registry, 'gullwall_stream_bindings', 'Bindings of streams that this process holds')
    Object.assign(bindings, { collect: () => bindings.set(this.table.size) })
  }
}
