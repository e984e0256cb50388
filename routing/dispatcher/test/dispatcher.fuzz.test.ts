import { describe, expect, it, vi } from 'vitest'
import fc from 'fast-check'
import { FairQueue } from '@gullwall/routing.fair-queue'
import { ReservationBook } from '@gullwall/routing.reservations'
import { EndpointSlots } from '@gullwall/sidecar.slots'
import { Simulation, type SimulatedClass } from './simulation.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60)
const SEED = Number(process.env['FUZZ_SEED'] ?? 20261202)

const CLASSES: SimulatedClass[] = [
  { name: 'interactive', tier: 0, floor: 0.02 },
  { name: 'standard', tier: 1, floor: 0.05 },
  { name: 'batch', tier: 2, floor: 0.1 }
]

type Step =
  | { do: 'send', entry: number, class: number, organisation: number, runMs: number, times: number }
  | { do: 'reconnect', entry: number, sidecar: number }
  | { do: 'advance', ms: number }

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('send' as const),
      entry: fc.nat(2),
      class: fc.nat(2),
      organisation: fc.nat(3),
      runMs: fc.constantFrom(10, 80, 400),
      times: fc.integer({ min: 1, max: 10 })
    })
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('reconnect' as const), entry: fc.nat(2), sidecar: fc.nat(1) }) },
  { weight: 4, arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(1, 10, 100, 700) }) }
)

/** Long enough for the longest sequence of requests on all slots; a request that is still unfinished afterwards is stuck. */
const SETTLE_MS = 60_000
const SETTLE_STEP_MS = 500
const LIMIT = 2

async function runSteps (steps: readonly Step[], seed: number, mutate?: () => void): Promise<string | undefined> {
  const simulation: Simulation = new Simulation({ seed, entries: 3, endpoints: 2, limit: LIMIT, maxQueued: 12, classes: CLASSES })
  try {
    mutate?.()
    for (const next of steps) {
      if (next.do === 'advance') await simulation.advance(next.ms)
      else if (next.do === 'reconnect') simulation.reconnect(next.entry, next.sidecar)
      else for (let time = 0; time < next.times; time++) simulation.send(next.entry, CLASSES[next.class]?.name ?? '', `o${next.organisation}`, next.runMs)
    }
    const findStuck = () => simulation.requests.find(({ state }) => state === 'waiting' || state === 'running')
    for (let waited = 0; findStuck() !== undefined && waited < SETTLE_MS; waited += SETTLE_STEP_MS) await simulation.advance(SETTLE_STEP_MS)
    const stuck = findStuck()
    if (stuck !== undefined) simulation.violations.push(`${stuck.request.class} ${stuck.request.id} is still ${stuck.state}`)
    await simulation.advance(SETTLE_STEP_MS)
    for (const { name, slots } of simulation.sidecars) {
      if (slots.spare !== LIMIT) simulation.violations.push(`${name} has ${slots.spare} of ${LIMIT} slots free although no request is left`)
    }
    return simulation.violations[0]
  } finally {
    simulation.stop()
  }
}

async function fuzz (runs: number, mutate?: () => void): Promise<fc.RunDetails<[Step[], number]>> {
  const property = fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 25 }), fc.integer(), async (steps, seed) => {
    const violation = await runSteps(steps, seed, mutate)
    if (violation !== undefined) throw new Error(violation)
  })
  return await fc.check(property, { numRuns: runs, seed: SEED, endOnFailure: mutate !== undefined })
}

describe('routing decisions of entries and sidecars', () => {
  it('respect tiers and limits and finish every request under random load and lost links', async () => {
    console.log(`seed ${SEED}, ${RUNS} sequences`)
    const details = await fuzz(RUNS)
    expect(details.failed, `${String(details.errorInstance)}\n${fc.defaultReportMessage(details) ?? ''}`).toBe(false)
  }, 3_600_000)

  it('serve every class at its floor under a constant load of higher tiers', async () => {
    const simulation = new Simulation({ seed: 5, entries: 2, endpoints: 1, limit: 2, maxQueued: 500, classes: CLASSES })
    try {
      for (let index = 0; index < 60; index++) simulation.send(index, 'batch', 'o1', 20)
      for (let tick = 0; tick < 400; tick++) {
        simulation.send(tick, 'interactive', 'o2', 20)
        await simulation.advance(10)
      }
      const grants = simulation.started.length
      const batch = simulation.started.filter((tracked) => tracked.request.class === 'batch').length
      expect(batch / grants).toBeGreaterThanOrEqual(0.09)
      expect(simulation.violations).toEqual([])
    } finally {
      simulation.stop()
    }
  })

  it('serve a higher tier at one entry before a lower tier that has waited longer at another entry', async () => {
    const classesWithoutFloor = CLASSES.map((requestClass) => ({ ...requestClass, floor: 0 }))
    const simulation = new Simulation({ seed: 6, entries: 3, endpoints: 1, limit: 1, maxQueued: 500, classes: classesWithoutFloor })
    try {
      simulation.send(0, 'interactive', 'o1', 300)
      await simulation.advance(20)
      for (let index = 0; index < 5; index++) simulation.send(1, 'batch', 'o2', 50)
      await simulation.advance(100)
      for (let index = 0; index < 3; index++) simulation.send(2, 'interactive', 'o3', 50)
      await simulation.advance(5000)
      expect(simulation.started.slice(1, 4).map((tracked) => tracked.request.class)).toEqual(['interactive', 'interactive', 'interactive'])
    } finally {
      simulation.stop()
    }
  })
})

/** A type through which mutations replace private members. */
type PrivateMembers = Record<string, (...args: never[]) => unknown>

const MUTATIONS: Record<string, () => void> = {
  'the highest tier is shed first': () => {
    const originalSamples = FairQueue.prototype.groupSamples
    vi.spyOn(FairQueue.prototype, 'findVictim').mockImplementation(function (this: FairQueue<never>) {
      const item = originalSamples.call(this).sort((left: { tier: number }, right: { tier: number }) => left.tier - right.tier)[0] as never
      return { item, isResumed: false }
    })
  },
  'a request may take a slot that is offered to another one': () => {
    vi.spyOn(EndpointSlots.prototype as unknown as PrivateMembers, 'mayGoAhead').mockImplementation(function (this: EndpointSlots) {
      return this.inFlight < LIMIT
    })
  },
  'slots are not counted': () => {
    vi.spyOn(EndpointSlots.prototype, 'spare', 'get').mockReturnValue(1)
  },
  'any stream is preempted': () => {
    vi.spyOn(EndpointSlots.prototype as unknown as PrivateMembers, 'findPreemptionVictim').mockImplementation(function (this: EndpointSlots) {
      return [...(this as unknown as { running: Map<string, unknown> }).running.values()][0]
    })
  },
  'a lost offer never expires': () => {
    vi.spyOn(EndpointSlots.prototype, 'declineOffer').mockImplementation(() => {})
  },
  'the floor is forgotten and only the highest tier is offered': () => {
    vi.spyOn(ReservationBook.prototype, 'assignSlot').mockImplementation(() => undefined)
  }
}

describe('the checks of the simulation', () => {
  for (const [name, mutate] of Object.entries(MUTATIONS)) {
    it(`detect that ${name}`, async () => {
      expect((await fuzz(300, mutate)).failed).toBe(true)
    }, 120_000)
  }
})
