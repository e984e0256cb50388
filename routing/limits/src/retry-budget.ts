/**
 * Limits the retries of one entry, so that they do not multiply the load during a fault. The budget is earned by successful requests and
 * by time. A process begins without a budget, so that processes that start again and again earn no more than one that keeps running.
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

export class RetryBudget {
  private balance = 0
  private updatedAt: number
  private readonly now: () => number

  constructor ({ now = () => performance.now() }: RetryBudgetOptions = {}) {
    this.now = now
    this.updatedAt = now()
  }

  /** Records a request that was answered. */
  recordSuccess (): void {
    this.addEarnedByTime()
    this.balance = Math.min(MAX_BUDGET, this.balance + RETRIES_PER_SUCCESS)
  }

  /** The number of retries that may be taken now. */
  get remaining (): number {
    this.addEarnedByTime()
    return Math.floor(this.balance)
  }

  /**
   * Takes one retry from the budget.
   * @returns false if the budget is spent
   */
  tryTake (): boolean {
    if (this.remaining < 1) return false
    this.balance -= 1
    return true
  }

  private addEarnedByTime (): void {
    const now = this.now()
    const earned = (now - this.updatedAt) / MS_PER_SECOND * RETRIES_PER_SECOND
    this.balance = Math.max(this.balance, Math.min(MAX_EARNED_BY_TIME, this.balance + earned))
    this.updatedAt = now
  }
}
