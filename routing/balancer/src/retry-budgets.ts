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

/** The retries of one request. The services of its route must all allow them, since the endpoint is chosen later. */
export class RequestRetries {
  constructor (private readonly budgets: ReadonlyMap<string, RetryBudget>) {}

  /** The number of retries that may still be sent now. */
  get remaining (): number {
    return Math.min(...[...this.budgets.values()].map(({ remaining }) => remaining))
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryTake (): boolean {
    if (this.remaining < 1) return false
    for (const budget of this.budgets.values()) budget.tryTake()
    return true
  }
}
