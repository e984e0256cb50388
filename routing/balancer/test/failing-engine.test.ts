import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { describe, expect, it } from 'vitest'
import { choose, EndpointState, OutcomeObserver, type ChoiceRequest } from '../src/index.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 5)
const ENGINES = 12
const ENTRIES = 28
/** Requests a second from all entries together. */
const PER_S = 134
const FAILING = 0
const FAILURE_SHARE = 0.47
const REPORT_INTERVAL_MS = 250
const RUN_MS = 100

interface Entry {
  engines: EndpointState[]
}

function engines (): EndpointState[] {
  return Array.from({ length: ENGINES }, (_, index) => (
    new EndpointState({ incarnation: `i-${index}`, service: 'lm', address: `10.0.0.${index}:80`, dataCentre: 'dc1', slots: 64 })
  ))
}

const REQUEST: ChoiceRequest = {
  prompt: [],
  dataCentre: 'dc1',
  tier: 1,
  isResumed: false,
  needsSlot: true,
  isSingleAttempt: true,
  firstEventTargetMs: 500,
  maxPauseMs: 250,
  excluded: new Set(),
  copySources: [],
  isAffinityTrusted: false,
  isPauseSensitive: false,
  reserved: new Set()
}

/**
 * Simulates requests that may not be retried, at a constant rate for six seconds and at random entries. One engine fails some of its
 * requests although its health checks pass.
 * @param isShared whether entries exchange the outcomes of their attempts
 * @returns the share of requests that failed
 */
function simulate (isShared: boolean, seed: number): number {
  const generator = xoroshiro128plus(seed)
  const random = () => uniformFloat64(generator)
  const entries: Entry[] = Array.from({ length: ENTRIES }, () => ({ engines: engines() }))
  const learnt = Array.from({ length: ENGINES }, () => new OutcomeObserver())
  const running: Array<{ endsAt: number, end: () => void }> = []
  let failed = 0
  let requests = 0
  let reportedAt = 0
  for (let now = 0; now < 6000; now += 1000 / PER_S) {
    for (const run of running.filter(({ endsAt }) => endsAt <= now)) {
      run.end()
      running.splice(running.indexOf(run), 1)
    }
    if (isShared && now - reportedAt >= REPORT_INTERVAL_MS) {
      reportedAt = now
      for (const [index, outcomes] of learnt.entries()) {
        for (const entry of entries) outcomes.learn(entry.engines[index]?.outcomes.takeObservations() ?? { good: 0, failed: 0 }, now)
        for (const entry of entries) entry.engines[index]?.outcomes.adopt(outcomes.failureShareAt(now), now)
      }
    }
    const entry = entries[Math.floor(random() * ENTRIES)]
    // Engines with equal cost are chosen in random order, as they would be under the load of other entries.
    const shuffled = [...entry?.engines ?? []].sort(() => random() - 0.5)
    const endpoint = choose(REQUEST, shuffled, now)?.endpoint
    if (endpoint === undefined) continue
    requests += 1
    const isFailure = endpoint.description.incarnation === `i-${FAILING}` && random() < FAILURE_SHARE
    if (isFailure) failed += 1
    const request = endpoint.begin(
      { prompt: [], unreadTokens: 0, urgency: 1, pauseSensitivity: 0, isPauseSensitive: false, outputTokens: 10 }, now
    )
    running.push({ endsAt: now + RUN_MS, end: () => endpoint.end(request, isFailure ? 'failed' : 'success', now + RUN_MS) })
  }
  return failed / requests
}

describe('an engine that fails some requests although its health checks pass', () => {
  it('gets fewer of the requests that may not be retried once the entries share their outcomes', () => {
    const seeds = [SEED, SEED + 1, SEED + 2]
    console.log(`seeds ${seeds.join(', ')}`)
    const alone = seeds.map((seed) => simulate(false, seed))
    const together = seeds.map((seed) => simulate(true, seed))
    console.log(`failed alone ${alone.map((share) => share.toFixed(4)).join(', ')}; together ${together.map((share) => share.toFixed(4)).join(', ')}`)
    for (const [index, share] of together.entries()) expect(share).toBeLessThan(0.5 * (alone[index] ?? 0))
  })

  it('is tried again after a time without outcomes', () => {
    const outcomes = new OutcomeObserver()
    outcomes.learn({ good: 10, failed: 10 }, 0)
    expect(outcomes.excessFailureShareAt(0)).toBeGreaterThan(0.1)
    expect(outcomes.excessFailureShareAt(20_000)).toBe(0)
  })
})

describe('the failure share of an endpoint', () => {
  it('stays close to the ordinary share if the endpoint fails few requests by chance', () => {
    const generator = xoroshiro128plus(SEED)
    const outcomes = new OutcomeObserver()
    let most = 0
    for (let now = 0; now < 60_000; now += 50) {
      const isFailure = uniformFloat64(generator) < 0.02
      outcomes.learn({ good: isFailure ? 0 : 1, failed: isFailure ? 1 : 0 }, now)
      most = Math.max(most, outcomes.excessFailureShareAt(now))
    }
    expect(most).toBeLessThan(0.1)
  })

  it('reports each outcome once', () => {
    const outcomes = new OutcomeObserver()
    outcomes.record(true)
    outcomes.record(false)
    expect(outcomes.takeObservations()).toEqual({ good: 1, failed: 1 })
    expect(outcomes.hasObservations).toBe(false)
  })
})
