/** Holds the builds that began streams, as entries tell them, and answers entries whose callers take such streams up. */
import { AMBIGUOUS, BindingTable, ServiceBuilds, type BuildBinding, type EndpointBuild } from '@gullwall/routing.stream-builds'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { type MessageOf } from '@gullwall/transport.messages'

/** Shortest interval at which all endpoints are looked at for a question, in ms: there may be 12,000, and many questions. */
const UPDATE_INTERVAL_MS = 200

export class StreamBuilds {
  private readonly table = new BindingTable()
  private readonly serviceBuilds = new ServiceBuilds()
  /** When all endpoints were last looked at, by the monotonic clock. */
  private updatedAt = -Infinity

  /** @param endpoints the endpoints that this process knows, those that have just gone included */
  constructor (private readonly endpoints: () => Iterable<EndpointBuild>) {}

  /** Records endpoints that have come or changed. */
  recordChanged (endpoints: Iterable<EndpointBuild>): void {
    this.serviceBuilds.recordChanged(endpoints, performance.now())
  }

  /** Number of bindings that this process holds. */
  get size (): number {
    return this.table.size
  }

  /** Receives the bindings of streams that an entry has begun. */
  receive ({ bindings, records }: MessageOf<'streamBuilds'>): void {
    for (const [key, index, validMs] of records) {
      const binding = bindings[index]
      if (binding === undefined) continue
      this.table.record({ key, binding, validMs })
      this.serviceBuilds.recordStream(binding.service, validMs)
    }
  }

  /** Answers which build began a stream. */
  answer ({ key }: MessageOf<'streamBuildOf'>): MessageOf<'streamBuild'> {
    const binding = this.table.find(key)
    return binding === AMBIGUOUS ? { kind: 'streamBuild', found: 'ambiguous' } : replyWith(binding)
  }

  /** Answers which build a service has had, if only one for some time. */
  answerOnly ({ service, forMs }: MessageOf<'onlyBuildOf'>): MessageOf<'streamBuild'> {
    const now = performance.now()
    if (now - this.updatedAt >= UPDATE_INTERVAL_MS) {
      this.updatedAt = now
      this.serviceBuilds.update(this.endpoints(), now)
    }
    return replyWith(this.serviceBuilds.findOnly(service, forMs, now))
  }

  /** Adds the metrics of this process to a registry. */
  addMetrics (registry: Registry): void {
    const bindings = gauge(registry, 'gullwall_stream_bindings', 'Bindings of streams that this process holds')
    Object.assign(bindings, { collect: () => bindings.set(this.table.size) })
  }
}

function replyWith (binding: BuildBinding | undefined): MessageOf<'streamBuild'> {
  return binding === undefined ? { kind: 'streamBuild', found: 'unknown' } : { kind: 'streamBuild', found: 'known', binding }
}
