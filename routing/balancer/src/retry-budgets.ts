/** The retry budgets of all services. The requests for one service allow no retries at another. */
import { RetryBudget, type RetryBudgetOptions } from './retry-budget.ts'

/** A service that a route sends requests to, and its weight among those. */
export interface WeightedService {
  service: string
  weight: number
}

export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>()

  constructor (private readonly options: RetryBudgetOptions) {}

  /** Records a request of a route that sends requests to these services, and returns its retries. */
  recordRequest (split: readonly WeightedService[]): RequestRetries {
    const totalWeight = split.reduce((total, { weight }) => total + weight, 0)
    const budgets = new Map(split.map(({ service }) => [service, this.of(service)]))
    for (const { service, weight } of split) budgets.get(service)?.recordRequest(weight / totalWeight)
    return new RequestRetries(budgets)
  }

  /** The number of retries that may still be sent now at the service that allows the fewest. */
  get remaining (): number {
    const budgets = this.budgets.size > 0 ? [...this.budgets.values()] : [new RetryBudget(this.options)]
    return Math.min(...budgets.map(({ remaining }) => remaining))
  }

  private of (service: string): RetryBudget {
    const known = this.budgets.get(service)
    if (known !== undefined) return known
    for (const [name, { isIdle }] of this.budgets) if (isIdle) this.budgets.delete(name)
    const budget = new RetryBudget(this.options)
    this.budgets.set(service, budget)
    return budget
  }
}

/**
 * The retries of one request. A retry is reserved when it is decided and counted when it is sent, since it may wait for an endpoint in
 * between. The services of the route must all allow it, since the endpoint is chosen later.
 */
export class RequestRetries {
  private isReserved = false

  constructor (private readonly budgets: ReadonlyMap<string, RetryBudget>) {}

  /** The number of retries that may still be sent now. */
  get remaining (): number {
    return Math.min(...[...this.budgets.values()].map(({ remaining }) => remaining))
  }

  /**
   * Reserves one retry; returns false if the budget is used up.
   * @param keptShare the share of the budget, from 0 to 1, that is left for other requests
   */
  tryReserve (keptShare = 0): boolean {
    const budgets = [...this.budgets.values()]
    if (!budgets.every((budget) => budget.allows(keptShare))) return false
    for (const budget of budgets) budget.tryReserve()
    this.isReserved = true
    return true
  }

  /** Records that an attempt is sent to a service; it uses the reserved retry, if there is one. */
  recordSent (service: string): void {
    if (!this.isReserved) return
    this.isReserved = false
    for (const [name, budget] of this.budgets) {
      if (name === service) budget.recordSent()
      else budget.cancel()
    }
  }

  /** Gives up a reserved retry that will not be sent. */
  cancel (): void {
    if (!this.isReserved) return
    this.isReserved = false
    for (const budget of this.budgets.values()) budget.cancel()
  }
}
