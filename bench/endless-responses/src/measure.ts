/** One measurement: responses without end in one place, and sound requests beside them. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Caller, sendEndless, sendSound, type Reply } from './callers.ts'
import { GatewayWithEngines } from './deployment.ts'
import { Flood, RawEngine } from './engine.ts'
import { type Place } from './places.ts'
import { readUse, watchDetails, type MemoryDetails } from './process-memory.ts'

export interface MeasureOptions {
  seed: number
  seconds: number
  /** Number of endless responses at once. */
  atOnce?: number | undefined
  /** Number of sound requests a second, on average. */
  soundPerSecond?: number | undefined
  /** Folder of the built programs; those of this checkout if it is undefined. */
  programs?: string | undefined
  /** Whether the gateway is asked for the parts of its memory. */
  hasDetails?: boolean
}

/** How many requests ended in one way, and after which time, in ms. */
export interface Ended {
  count: number
  p50Ms: number
  longestMs: number
}

export interface Measurement {
  place: string
  beforeBytes: number
  peakBytes: number
  cpuSeconds: number
  /** Bytes that the engines wrote without end, and for how long. */
  writtenBytes: number
  elapsedMs: number
  sound: { sent: number, served: number, p50Ms: number, p95Ms: number, p99Ms: number, failures: Record<string, number> }
  /** The endless requests, by the status of the response. */
  told: Record<string, Ended>
  /** Connections with bytes without end that are still open once all requests have ended. */
  openCount: number
  details?: MemoryDetails | undefined
}

const AT_ONCE = 60
const SOUND_PER_SECOND = 100
const ENGINES = 4
/** Load before the measurement, so that the code that serves sound requests is loaded and compiled. */
const WARM_UP_SECONDS = 1
const SETTLE_MS = 1000

export async function measurePlace (place: Place, options: MeasureOptions): Promise<Measurement> {
  const flood = new Flood(place)
  const engines = Array.from({ length: ENGINES }, (_, index) => [
    new RawEngine(`endless-${index + 1}`, 'endless', flood), new RawEngine(`sound-${index + 1}`, 'sound')
  ]).flat()
  const deployment = new GatewayWithEngines(engines, options.programs)
  try {
    await deployment.start()
    return await measure(deployment, flood, place, options)
  } finally {
    flood.stop()
    await deployment.stop()
  }
}

async function measure (deployment: GatewayWithEngines, flood: Flood, place: Place, options: MeasureOptions): Promise<Measurement> {
  const { seed, seconds, atOnce = AT_ONCE, soundPerSecond = SOUND_PER_SECOND, hasDetails = false } = options
  const [endless, sound] = ['endless', 'sound'].map((name) => new Caller(deployment.gatewayAddress, name)) as [Caller, Caller]
  try {
    await sendSound(sound, seed, soundPerSecond, WARM_UP_SECONDS)
    const endDetails = hasDetails ? watchDetails(deployment.admin) : undefined
    const startedAt = performance.now()
    const before = readUse(deployment.gatewayPid)
    const [endlessReplies, soundReplies] = await Promise.all([
      sendEndless(endless, place.path, atOnce, seconds), sendSound(sound, seed, soundPerSecond, seconds)
    ])
    const after = readUse(deployment.gatewayPid)
    const elapsedMs = performance.now() - startedAt
    await sleep(SETTLE_MS)
    return {
      place: place.name,
      beforeBytes: before.residentBytes,
      peakBytes: after.peakBytes,
      cpuSeconds: after.cpuSeconds - before.cpuSeconds,
      writtenBytes: flood.writtenBytes,
      elapsedMs,
      sound: summarizeSound(soundReplies),
      told: summarizeEndless(endlessReplies),
      openCount: flood.openCount,
      details: endDetails?.()
    }
  } finally {
    await Promise.all([endless.close(), sound.close()])
  }
}

function summarizeSound (replies: Reply[]): Measurement['sound'] {
  const served = replies.filter(({ status, body }) => status === 200 && body === 'done')
  const failures: Record<string, number> = {}
  for (const reply of replies) if (!served.includes(reply)) failures[reply.status] = (failures[reply.status] ?? 0) + 1
  const timeAt = quantileOf(served)
  return { sent: replies.length, served: served.length, p50Ms: timeAt(0.5), p95Ms: timeAt(0.95), p99Ms: timeAt(0.99), failures }
}

function summarizeEndless (replies: Reply[]): Measurement['told'] {
  const statuses = [...new Set(replies.map(({ status }) => status))].sort()
  return Object.fromEntries(statuses.map((status) => {
    const alike = replies.filter((reply) => reply.status === status)
    const timeAt = quantileOf(alike)
    return [status, { count: alike.length, p50Ms: timeAt(0.5), longestMs: timeAt(1) }]
  }))
}

function quantileOf (replies: Reply[]): (share: number) => number {
  const sorted = replies.map(({ tookMs }) => tookMs).sort((left, right) => left - right)
  return (share) => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}
