/** Which service has had one build only, and for how long, as far as a process has heard. */
import { type BuildBinding, type EndpointBuild } from './binding.ts'

interface ServiceHistory {
  /** The build of all its endpoints; undefined if there are several, or if an endpoint names none. */
  only: string | undefined
  /** Since when that holds, by the monotonic clock. */
  since: number
}

export class ServiceBuilds {
  private histories = new Map<string, ServiceHistory>()
  /** The longest time for which a caller of each service could take its stream up, in ms. */
  private readonly longestWaits = new Map<string, number>()

  /** Records a stream that began, and for how long its caller may take it up, in ms. */
  recordStream (service: string, validMs: number): void {
    this.longestWaits.set(service, Math.max(validMs, this.longestWaits.get(service) ?? 0))
  }

  /** Records endpoints that have come or changed. It looks at these only, since all endpoints may change within a second. */
  recordChanged (endpoints: Iterable<EndpointBuild>, now: number): void {
    for (const { service, build } of endpoints) {
      const history = this.histories.get(service)
      if (history === undefined) this.histories.set(service, { only: build, since: now })
      else if (history.only !== build) this.histories.set(service, { only: undefined, since: now })
    }
  }

  /** Records all endpoints that are known now, those that have just gone included. Call it before a question. */
  update (endpoints: Iterable<EndpointBuild>, now: number): void {
    const histories = new Map<string, ServiceHistory>()
    for (const { service, build } of endpoints) {
      const current = histories.get(service)
      if (current === undefined) histories.set(service, { only: build, since: now })
      else if (current.only !== build) current.only = undefined
    }
    for (const [service, history] of histories) {
      const before = this.histories.get(service)
      if (before !== undefined && before.only === history.only) history.since = before.since
    }
    this.histories = histories
  }

  /**
   * Returns the only build that a service has had for some time, in ms, and for as long as any caller of it could wait; undefined if
   * there may have been another. A caller that comes back tells how long it still waits, not how long it has waited.
   */
  findOnly (service: string, forMs: number, now: number): BuildBinding | undefined {
    const history = this.histories.get(service)
    const sinceMs = Math.max(forMs, this.longestWaits.get(service) ?? 0)
    if (history?.only === undefined || now - history.since < sinceMs) return undefined
    return { service, incarnation: '', build: history.only }
  }
}
