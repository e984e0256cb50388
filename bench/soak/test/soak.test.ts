/** A short run from a fixed seed, and that every mutation still has its place. A long run: `npm run soak`. */
import { afterAll, expect, it } from 'vitest'
import { rmSync } from 'node:fs'
import { FAULTS, MUTATIONS, mutate, soak, type FaultKind } from '@gullwall/bench.soak'
import { planFaults } from '../src/plan.ts'
import { Random } from '../src/random.ts'

const SEED = Number(process.env['SOAK_SEED'] ?? 20)
const FAULTS_MS = 5000
/** The machine may do other work. */
const SLACK = 3
const folders: string[] = []

afterAll(() => { for (const folder of folders) rmSync(folder, { recursive: true, force: true }) })

it(`breaks no rule under a short series of faults, seed ${SEED}`, async () => {
  const verdict = await soak({ seed: SEED, durationMs: FAULTS_MS, processes: 5, slack: SLACK, waitsForRecovery: false })
  folders.push(verdict.folder)
  expect(verdict.violations).toEqual([])
  expect(verdict.served).toBeGreaterThan(0)
}, 60_000)

/** Long enough for some hundred requests at the engines of one service. */
const ODD_ANSWERS_MS = 20_000
const PROMISES = [408, 421, 429, 503]

it(`promises nothing for requests that engines refuse after they ran, seed ${SEED}`, async () => {
  const kinds: FaultKind[] = ['engine refuses after running', 'all engines refuse after running']
  const verdict = await soak({ seed: SEED, durationMs: ODD_ANSWERS_MS, processes: 5, slack: SLACK, kinds, waitsForRecovery: false })
  folders.push(verdict.folder)
  expect(verdict.violations).toEqual([])
  // The engines have given each of the statuses.
  expect(Object.keys(verdict.misconduct)).toEqual(expect.arrayContaining(PROMISES.map((status) => `${status} after a run`)))
}, 120_000)

it(`closes connections on which engines send bytes without end, seed ${SEED}`, async () => {
  const kinds: FaultKind[] = ['engine sends bytes without end']
  const verdict = await soak({ seed: SEED, durationMs: ODD_ANSWERS_MS, processes: 5, slack: SLACK, kinds, waitsForRecovery: false })
  folders.push(verdict.folder)
  expect(verdict.violations).toEqual([])
  expect(Object.keys(verdict.misconduct)).not.toEqual([])
}, 120_000)

it.each(MUTATIONS)('$name can be made', (mutation) => {
  for (const replacement of [mutation, ...mutation.more ?? []]) expect(mutate(replacement)).toContain(replacement.replace)
})

it('a seed gives the same series of faults again, of every kind', () => {
  const names = { gateways: ['g'], controls: ['c'], engines: ['e'], dataCentres: ['d'] }
  const plan = () => planFaults({ random: new Random(SEED), durationMs: 3_600_000, ...names })
  expect(plan()).toEqual(plan())
  expect(new Set(plan().map(({ kind }) => kind))).toEqual(new Set(Object.keys(FAULTS) as FaultKind[]))
})
