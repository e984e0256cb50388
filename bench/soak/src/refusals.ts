/** Refusals of an engine: true ones, which bear the mark of a request that was not run, and those of requests that it has run. */
import { type ServerResponse } from 'node:http'
import { type Random } from './random.ts'

/** Statuses that would promise the caller that its request has not run, if a gateway gave them. */
const PROMISES = [503, 429, 408, 421]
/** 421 with the mark would say that another process serves at the address. */
const MARKED_STATUSES = [503, 429, 408]
const REJECTED_SHARE = 0.2
const AFTER_RUN_SHARE = 0.5
const RETRY_AFTER_SHARE = 0.4
const RETRY_AFTER_SECONDS = ['0.2', '1']

export interface Refusal {
  status: number
  isMarked: boolean
  /** Seconds; undefined where the engine names none. */
  retryAfter: string | undefined
}

/** Draws whether an engine rejects a request without running it, and how. */
export function drawRejection (random: Random): Refusal | undefined {
  if (!random.chance(REJECTED_SHARE)) return undefined
  return { status: random.pick(MARKED_STATUSES), isMarked: true, retryAfter: undefined }
}

/** Draws whether an engine refuses a request that it has run, and how. */
export function drawRefusalAfterRun (random: Random): Refusal | undefined {
  if (!random.chance(AFTER_RUN_SHARE)) return undefined
  const retryAfter = random.chance(RETRY_AFTER_SHARE) ? random.pick(RETRY_AFTER_SECONDS) : undefined
  return { status: random.pick(PROMISES), isMarked: false, retryAfter }
}

export function refuse (response: ServerResponse, id: string, { status, isMarked, retryAfter }: Refusal): void {
  const headers: Record<string, string> = { 'x-gullwall-request-id': id }
  if (isMarked) headers['x-gullwall-ran'] = 'no'
  if (retryAfter !== undefined) headers['retry-after'] = retryAfter
  response.writeHead(status, headers).end(isMarked ? undefined : `refused ${id} after its run`)
}
