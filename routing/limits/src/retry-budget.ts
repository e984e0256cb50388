/** Limits retries to a fraction of recent successes, so that retries do not multiply the load during a fault. */

const RETRIES_PER_SUCCESS = 0.1
const MAX_BUDGET = 50
/** The initial budget, which permits retries before there are enough successes. */
const INITIAL_BUDGET = 10

export class RetryBudget {
  private balance = INITIAL_BUDGET

  recordSuccess (): void {
    this.balance = Math.min(MAX_BUDGET, this.balance + RETRIES_PER_SUCCESS)
  }

  /**
   * Takes one retry from the budget.
   * @returns false if the budget is spent
   */
  tryTake (): boolean {
    if (this.balance < 1) return false
    this.balance -= 1
    return true
  }
}
