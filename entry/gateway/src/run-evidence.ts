/** What the responses of endpoints prove about the run of a request. */
import { type SentAttempt } from '@gullwall/core.types'

/** What the final head of an endpoint's response to this very request states. */
export interface ResponseStatement {
  status: number
  /** Whether the head bears the mark of a request that was not run. */
  isMarkedNotRun: boolean
}

/** Statuses with which this process reports a failure; none of them is a promise. */
export type FailureStatus = 400 | 401 | 404 | 413 | 500 | 502 | 504

/** The lowest status of a response that reports a failure. */
const MIN_FAILURE_STATUS = 400

/**
 * Records the final head of a response as evidence. Only a failure that bears the mark proves that the request was not run: an endpoint
 * that ran it may respond with any status.
 */
export function recordResponse (attempt: SentAttempt, { status, isMarkedNotRun }: ResponseStatement): void {
  if (isMarkedNotRun && status >= MIN_FAILURE_STATUS) attempt.recordNotRun()
}
