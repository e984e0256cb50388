// What ran never gets a status that promises "not run", and what may run once never runs twice, whatever sidecars and endpoints respond.
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { type Ran } from '@gullwall/core.types'
import { breakOff, EntryFixture, refuseWith, respondWith, streamOf, type Attempt } from './entry-fixture.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 74)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 300)
console.log(`promises of an entry: FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS}`)

interface Step {
  name: string
  /** Whether the endpoint runs the request. */
  hasRun: boolean
  attempt: Attempt
  /** What the sidecar states when asked, if the connection breaks. */
  revoked?: Ran
}

const REFUSALS = ['busy', 'turned-away', 'revoked', 'other-start', 'endpoint-down', 'leaving'] as const
const FAILURES = ['turned-away', 'endpoint-failed', 'stalled', 'preempted', 'duplicate'] as const
const MAY_HAVE_RUN = ['partly', 'unknown'] as const

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.constantFrom(...REFUSALS).map((reason) => ({ name: `no: ${reason}`, hasRun: false, attempt: refuseWith(reason, 'no') })),
  fc.tuple(fc.constantFrom(...FAILURES), fc.constantFrom(...MAY_HAVE_RUN)).map(([reason, ran]) => (
    { name: `${ran}: ${reason}`, hasRun: true, attempt: refuseWith(reason, ran) }
  )),
  fc.constantFrom(200, 400, 408, 421, 429, 500, 503).map((status) => (
    { name: String(status), hasRun: true, attempt: respondWith(status, { 'gullwall-ran': 'no', 'x-gullwall-ran': 'no' }) }
  )),
  fc.constantFrom(': gullwall-end preempted\n\n', 'data: {}\n\n: gullwall-end stalled\n\n', 'data: {}\n\n', 'data: [DONE]\n\n').map((events) => (
    { name: events, hasRun: true, attempt: streamOf(events) }
  )),
  fc.constantFrom<Ran>('no', 'partly', 'unknown').map((revoked) => (
    { name: `broken, ${revoked}`, hasRun: revoked !== 'no', attempt: breakOff, revoked }
  ))
)

describe('a request behind sidecars', () => {
  const entry = new EntryFixture()
  beforeAll(async () => await entry.start())
  afterAll(async () => await entry.stop())

  it('that ran is never promised to have not run, and one that may run once never runs twice', async () => {
    const request = fc.record({
      steps: fc.array(step, { maxLength: 9 }), stream: fc.boolean(), repeatable: fc.constantFrom('true', 'false', undefined), hasRetries: fc.boolean()
    })
    await fc.assert(fc.asyncProperty(request, async ({ steps, stream, repeatable, hasRetries }) => {
      let runs = 0
      entry.hasRetries = hasRetries
      entry.attempts = steps.map(({ hasRun, attempt, revoked = 'unknown' }) => (response) => {
        if (hasRun) runs += 1
        entry.revoked = revoked
        attempt(response)
      })
      // Tools make a stream one that can't be resumed.
      const body = stream ? { stream, tools: [] } : {}
      const { status, headers } = await entry.ask(body, repeatable === undefined ? {} : { 'gullwall-repeatable': repeatable })
      const played = `${steps.map(({ name }) => name).join(' | ')} -> ${status}`
      if (runs > 0) expect([408, 421, 429, 503], played).not.toContain(status)
      if (runs > 0) expect(headers['gullwall-ran'], played).not.toBe('no')
      const mayRunOnce = repeatable === 'false' || (repeatable === undefined && stream)
      if (mayRunOnce) expect(runs, played).toBeLessThanOrEqual(1)
      // A true "not run" stays one.
      if (runs === 0) expect(status, played).toBe(503)
    }), { seed: SEED, numRuns: RUNS })
  })
})
