/** A short measurement of one place, from a fixed seed. All places: `npm run bench:endless`. */
import { expect, it } from 'vitest'
import { formatTable, measurePlace, PLACES } from '../src/index.ts'

const SEED = Number(process.env['ENDLESS_SEED'] ?? 1)
const SECONDS = 2
const AT_ONCE = 5
/** Two programs are started on a machine that may do other work. */
const TIMEOUT_MS = 300_000

it(`measures the gateway, the sound requests and the endless responses, seed ${SEED}`, async () => {
  const place = PLACES.find(({ name }) => name === 'chunk-extension')
  if (place === undefined) throw new Error('no such place')
  const measurement = await measurePlace(place, { seed: SEED, seconds: SECONDS, atOnce: AT_ONCE, hasDetails: true })
  expect(measurement.openCount).toBe(0)
  expect(measurement.told['502']?.count).toBeGreaterThan(0)
  expect(measurement.sound.served).toBeGreaterThan(0)
  expect(measurement.peakBytes).toBeGreaterThanOrEqual(measurement.beforeBytes)
  expect(measurement.cpuSeconds).toBeGreaterThan(0)
  expect(formatTable([measurement])).toContain(place.name)
}, TIMEOUT_MS)
