/** Measurements as a table. */
import { type Measurement } from './measure.ts'

const BYTES_PER_MB = 1_000_000
const MS_PER_SECOND = 1000
const HEADER = ['place', 'before, MB', 'peak, MB', 'processor, s', 'written, MB', 'for, s', 'sound: served of sent', 'p50, ms', 'p95, ms', 'p99, ms', 'told: status count (p50, longest ms)', 'open']

export function formatTable (measurements: readonly Measurement[]): string {
  const rows = [HEADER, HEADER.map(() => '---'), ...measurements.map(rowOf)]
  const notes = measurements.flatMap(({ place, sound, details }) => [
    ...Object.entries(sound.failures).map(([status, count]) => `${place}: ${count} sound requests ended with ${status}`),
    ...details === undefined ? [] : [`${place}: heap ${toMb(details.heapBytes)} MB, outside the heap ${toMb(details.externalBytes)} MB at most`]
  ])
  return [...rows.map((cells) => `| ${cells.join(' | ')} |`), ...notes].join('\n')
}

function rowOf ({ place, beforeBytes, peakBytes, cpuSeconds, writtenBytes, elapsedMs, sound, told, openCount }: Measurement): string[] {
  const endings = Object.entries(told).map(([status, { count, p50Ms, longestMs }]) => `${status} ${count} (${p50Ms.toFixed(0)}, ${longestMs.toFixed(0)})`)
  return [
    place, toMb(beforeBytes), toMb(peakBytes), cpuSeconds.toFixed(1), toMb(writtenBytes), (elapsedMs / MS_PER_SECOND).toFixed(1), `${sound.served} of ${sound.sent}`,
    sound.p50Ms.toFixed(0), sound.p95Ms.toFixed(0), sound.p99Ms.toFixed(0), endings.join(', '), String(openCount)
  ]
}

function toMb (bytes: number): string {
  return (bytes / BYTES_PER_MB).toFixed(0)
}
