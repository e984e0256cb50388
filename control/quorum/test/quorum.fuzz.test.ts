import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { fuzz } from './fuzz.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 150)
const SEED = Number(process.env['FUZZ_SEED'] ?? 20261202)

describe('the quorum under random faults', () => {
  it.each([1, 0.1])('loses nothing acknowledged, applies nothing twice, and agrees (first elections after %f of the time)', async (firstElectionShare) => {
    console.log(`seed ${SEED}, ${RUNS} sequences`)
    const details = await fuzz({ runs: RUNS, seed: SEED, firstElectionShare })
    expect(details.failed, `${String(details.errorInstance)}\n${fc.defaultReportMessage(details) ?? ''}`).toBe(false)
  }, 3_600_000)
})
