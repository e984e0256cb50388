/** Checks how often requests are sent again. */
import { KINDS, RETRIES } from '../documents.ts'
import { type Delivery, type Journal } from '../journal.ts'
import { type Check } from './violation.ts'

const SERVICES: readonly string[] = [...new Set(KINDS.map(({ service }) => service))]
/** How many windows earlier the windows begin whose requests allow the retries of a window. The one with the most requests counts. */
const REQUEST_WINDOWS = [0, 0.5, 1]

/** In no window a service receives more retries from all gateways together than the budget allows, whatever was disturbed. */
export const retriesAreBounded: Check = ({ journal }) => SERVICES.flatMap((service) => {
  const { ratio, windowMs, slack } = RETRIES
  const retries = retriesOf(journal.deliveries, service)
  const retryTimes = retries.map(({ at }) => at)
  const requests = requestsOf(journal, service)
  return retries.flatMap(({ id, at }) => {
    const within = countIn(retryTimes, at, windowMs)
    const most = ratio * Math.max(...REQUEST_WINDOWS.map((windows) => countIn(requests, at - windows * windowMs, windowMs))) + slack
    const what = `${within} retries at ${service} in ${windowMs} ms from here, ${most.toFixed(1)} allowed`
    return within > most ? [{ check: 'retries', at, subject: `${service} ${id}`, what }] : []
  })
})

/** Every delivery after the first one of its request. */
function retriesOf (deliveries: readonly Delivery[], service: string): Delivery[] {
  const seen = new Set<string>()
  return deliveries.filter((delivery) => {
    if (delivery.service !== service) return false
    const isRetry = seen.has(delivery.id)
    seen.add(delivery.id)
    return isRetry
  })
}

/** When callers sent requests for a service, in order. */
function requestsOf ({ attempts }: Journal, service: string): number[] {
  const services = new Map(KINDS.map(({ name, service: usedService }) => [name, usedService]))
  // Probes of versions and keys go to the desk.
  return attempts.filter(({ kind }) => (services.get(kind) ?? 'desk') === service).map(({ sentAt }) => sentAt)
}

/** Counts the times in a window; the times are in order. */
function countIn (times: readonly number[], from: number, ms: number): number {
  return indexAfter(times, from + ms) - indexAfter(times, from)
}

/** The index of the first time that is not before a given one. */
function indexAfter (times: readonly number[], at: number): number {
  let low = 0
  let high = times.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((times[middle] ?? Infinity) < at) low = middle + 1
    else high = middle
  }
  return low
}
