/** Finds the endpoint for the next attempt of one request, and waits for one while none accepts the request. */
import { type Candidate } from '@gullwall/routing.balancer'
import { chooseEndpoint, findAvailabilityDelayMs, isBuildAllowed, type EndpointChoiceOptions } from './endpoint-choice.ts'
import { findWaitDeadline, waitRank } from './endpoint-wait.ts'

export class EndpointSearch {
  /** When a request that may have run began to wait for its next endpoint; undefined while no such request waits. */
  private resumedAt: number | undefined
  /** Until when the request waits for its next endpoint. */
  private waitDeadline = -Infinity

  /** Chooses an endpoint. If none is known or has capacity, waits for one for a limited time, or until the request is over. */
  async find (options: EndpointChoiceOptions, isOver: () => boolean): Promise<Candidate | undefined> {
    const { services, call, history } = options
    // A request that may have run can't be refused; it fails if no endpoint accepts it.
    if (history.mayHaveRun && hasUntried(options)) this.resumedAt ??= performance.now()
    const { resumedAt } = this
    for (;;) {
      const candidate = chooseEndpoint(options)
      if (candidate !== undefined || isOver()) return candidate
      const now = performance.now()
      const waitDeadline = findWaitDeadline(
        { call, resumedAt, availabilityDelayMs: findAvailabilityDelayMs(services, call, history.excluded), now }
      )
      // A resumed request keeps waiting during the slow start that follows a backoff.
      this.waitDeadline = resumedAt === undefined ? waitDeadline : Math.max(this.waitDeadline, waitDeadline)
      const maxWaitMs = this.waitDeadline - now
      if (maxWaitMs <= 0) return undefined
      await services.view.waitForChange(maxWaitMs, waitRank(call))
    }
  }

  /** Begins anew for the attempt after the one that is about to be sent. */
  reset (): void {
    this.resumedAt = undefined
    this.waitDeadline = -Infinity
  }
}

/** Whether a usable endpoint that may take the request has not been tried yet, even if it accepts no requests now. */
function hasUntried ({ call, history, services: { view } }: EndpointChoiceOptions): boolean {
  const usable = call.route.split.flatMap(({ service }) => view.usable(service))
  return usable.some(({ description }) => !history.excluded.has(description.incarnation) && isBuildAllowed(call, description))
}
