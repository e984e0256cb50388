/**
 * Limits the retries of one entry at each service, so that they do not multiply the load during a fault. A budget is earned by successful
 * requests for the service and by time. A process begins without one, so that processes that start again and again earn no more than one
 * that keeps running.
 */

const RETRIES_PER_SUCCESS = 0.1
const MAX_BUDGET = 50
/** Retries earned per second, which permits retries while there are few requests. */
const RETRIES_PER_SECOND = 1
/** The most that time alone earns. */
const MAX_EARNED_BY_TIME = 10
const MS_PER_SECOND = 1000

export interface RetryBudgetOptions {
  /** Returns the time of a monotonic clock, in ms. */
  now?: () => number
}

interface Balance {
  retries: number
  updatedAt: number
}

export class RetryBudget {
  private readonly balances = new Map<string, Balance>()
  private readonly startedAt: number
  private readonly now: () => number

  constructor ({ now = () => performance.now() }: RetryBudgetOptions = {}) {
    this.now = now
    this.startedAt = now()
  }

  /** Records a request that a service has answered. */
  recordSuccess (service: string): void {
    const balance = this.balanceOf(service)
    balance.retries = Math.min(MAX_BUDGET, balance.retries + RETRIES_PER_SUCCESS)
  }

  /** Returns the number of retries that may be taken at a service now. */
  remaining (service: string): number {
    return Math.floor(this.balanceOf(service).retries)
  }

  /**
   * Takes one retry at a service from its budget.
   * @returns false if the budget is spent
   */
  tryTake (service: string): boolean {
    const balance = this.balanceOf(service)
    if (balance.retries < 1) return false
    balance.retries -= 1
    return true
  }

  /** Returns the balance of a service, with what time has earned since the last call. */
  private balanceOf (service: string): Balance {
    const now = this.now()
    const balance = this.balances.get(service) ?? { retries: 0, updatedAt: this.startedAt }
    const earned = (now - balance.updatedAt) / MS_PER_SECOND * RETRIES_PER_SECOND
    balance.retries = Math.max(balance.retries, Math.min(MAX_EARNED_BY_TIME, balance.retries + earned))
    balance.updatedAt = now
    this.balances.set(service, balance)
    return balance
  }
}
