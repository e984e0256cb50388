/** Guards what callers are told of their requests against any bytes of endpoints, over sequences on shared connections. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import fc from 'fast-check'
import {
  EXTRA_TIMES, EXTRAS, FRAMINGS, IDS, isEndless, MARKS, REJECT, RUNS, SERVE, STATUSES, toPlayable, type EndpointCase
} from './endpoint-cases.ts'
import { PATHS, PromiseDeployment, type PathKind } from './promise-deployment.ts'

const NUM_RUNS = Number(process.env['FUZZ_RUNS'] ?? 100)
const SEED = Number(process.env['FUZZ_SEED'] ?? 74)
const MAX_REQUESTS = 6
const MAX_CASES = 3
/** How long the caller of a request waits whose endpoint may never end its response, in ms. */
const SHORT_WAIT_MS = 250
const TIMEOUT_MS = 3_600_000

interface PlannedRequest {
  kind: PathKind
  cases: EndpointCase[]
  /** Whether it is sent while the one before it is still in flight. */
  isConcurrent: boolean
}

const anyCase: fc.Arbitrary<EndpointCase> = fc.record({
  status: fc.oneof(fc.constantFrom(...STATUSES), fc.constantFrom(408, 421, 429, 503)),
  // The own id is what a fault would need to be believed.
  ids: fc.oneof(fc.constant('own' as const), fc.constantFrom(...IDS)),
  mark: fc.constantFrom(...MARKS),
  run: fc.constantFrom(...RUNS),
  framing: fc.oneof(fc.constantFrom('length' as const, 'chunks' as const), fc.constantFrom(...FRAMINGS)),
  extra: fc.oneof(fc.constant('nothing' as const), fc.constantFrom(...EXTRAS)),
  extraAt: fc.constantFrom(...EXTRA_TIMES)
}).map(toPlayable)

const plannedRequest: fc.Arbitrary<PlannedRequest> = fc.record({
  kind: fc.constantFrom(...PATHS),
  cases: fc.array(fc.oneof(anyCase, anyCase, anyCase, fc.constantFrom(REJECT, SERVE)), { maxLength: MAX_CASES }),
  isConcurrent: fc.boolean()
})

const played = new PromiseDeployment()

beforeAll(async () => await played.start())
afterAll(async () => await played.stop())

it(`what ran got no promise, nothing ran twice, and no caller got the response to another request (seed ${SEED})`, async () => {
  console.log(`seed ${SEED}, ${NUM_RUNS} runs`)
  await fc.assert(fc.asyncProperty(fc.array(plannedRequest, { minLength: 1, maxLength: MAX_REQUESTS }), async (requests) => {
    await played.renew()
    const replies = []
    for (const { kind, cases, isConcurrent } of requests) {
      const reply = played.send(kind, cases, cases.some(isEndless) ? SHORT_WAIT_MS : undefined)
      replies.push(reply)
      if (!isConcurrent) await reply
    }
    const received = await Promise.all(replies)
    await played.settle()
    expect(received.flatMap((reply) => played.findViolations(reply))).toEqual([])
  }), { numRuns: NUM_RUNS, seed: SEED, endOnFailure: process.env['FUZZ_RUNS'] === undefined })
  expect(played.findAllViolations()).toEqual([])
}, TIMEOUT_MS)
