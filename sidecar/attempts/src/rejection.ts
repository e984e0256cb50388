/** Reads from the head of an endpoint's response whether the endpoint rejected an attempt, and whether it proves that nothing ran. */
import { type IncomingHttpHeaders } from 'node:http'
import { isNotRunStatus } from '@gullwall/core.types'
import { ATTEMPT_ID_HEADER } from '@gullwall/endpoint.http'
import { type AttemptRefused } from '@gullwall/transport.attempt'

/** The value `no` in the final head of a failure with the attempt's id proves that the endpoint has not run the request. */
const RAN_HEADER = 'x-gullwall-ran'
const MIN_FAILURE_STATUS = 400

/**
 * Returns how an endpoint rejected an attempt; undefined if it responded to it. A status that promises "not run" is no proof without
 * the mark, and a mark without the id may be that of an earlier attempt whose response is late.
 */
export function readRejection (status: number, headers: IncomingHttpHeaders, attemptId: string): AttemptRefused | undefined {
  const isMarked = headers[RAN_HEADER] === 'no' && headers[ATTEMPT_ID_HEADER] === attemptId
  if (isMarked && status >= MIN_FAILURE_STATUS) return { reason: 'turned-away', ran: 'no' }
  return isNotRunStatus(status) ? { reason: 'turned-away', ran: 'unknown' } : undefined
}
