/** The budget for retries: a share of recent successes, so that a fault does not multiply load. */

const RETRIES_PER_SUCCESS = 0.1
const MAX_BUDGET = 50
/** What a process starts with, so that a quiet system may retry at all. */
const START_BUDGET = 10

export class RetryBudget {
  private balance = START_BUDGET

  recordSuccess (): void {
    this.balance = Math.min(MAX_BUDGET, this.balance + RETRIES_PER_SUCCESS)
  }

  /** Takes one retry out of the budget; false if it is spent. */
  tryTake (): boolean {
    if (this.balance < 1) return false
    this.balance -= 1
    return true
  }
}
