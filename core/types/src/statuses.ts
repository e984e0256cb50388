/** Statuses by what they tell a caller about the run of its request. */

/** Statuses that promise the caller that its request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503] as const

export type NotRunStatus = typeof NOT_RUN_STATUSES[number]

declare const promisesNothing: unique symbol

/** A status of an endpoint that promises nothing about the run, so that it can be forwarded. */
export type ForwardableStatus = number & { readonly [promisesNothing]: true }

export function isNotRunStatus (status: number): status is NotRunStatus {
  return (NOT_RUN_STATUSES as readonly number[]).includes(status)
}

/**
 * Returns the status of an endpoint's response as one that can be forwarded.
 * @throws Error for a status that would be a promise of this process
 */
export function toForwardable (status: number): ForwardableStatus {
  if (isNotRunStatus(status)) throw new Error(`the status ${status} of an endpoint can't be forwarded`)
  return status as ForwardableStatus
}
