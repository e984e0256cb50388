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

  /** Returns the only build that a service has had for some time, in ms; undefined if there may have been another. */
  findOnly (service: string, forMs: number, now: number): BuildBinding | undefined {
    const history = this.histories.get(service)
    if (history?.only === undefined || now - history.since < forMs) return undefined
    return { service, incarnation: '', build: history.only }
  }
}
