import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CONTROLS, GATEWAYS, Model } from './model.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 61)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 400)
const PLACES = 3
const BUILDS = ['v1', 'v1.1', 'v2']

const gateway = fc.constantFrom(...GATEWAYS)
const control = fc.constantFrom(...CONTROLS)
const pick = fc.nat({ max: 1000 })

const action = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('begin' as const), gateway, pick }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('takeUp' as const), gateway, pick }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('startGateway' as const), gateway }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('startControl' as const), control }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('cut' as const), gateway, control }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('heal' as const), gateway, control }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('deliver' as const), twice: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.nat({ max: 3000 }) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('startEndpoint' as const), place: fc.nat({ max: PLACES - 1 }), build: fc.constantFrom(...BUILDS), isNamed: fc.boolean()
    })
  }
)
type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never

/** Plays an action; throws if a stream that must go on does not. */
function play (model: Model, act: Action): void {
  switch (act.type) {
    case 'begin': {
      const endpoint = model.endpoints[act.pick % model.endpoints.length]
      if (endpoint !== undefined) model.begin(act.gateway, endpoint)
      break
    }
    case 'takeUp': {
      const stream = model.streams[act.pick % Math.max(1, model.streams.length)]
      if (stream === undefined) return
      const mustGoOn = model.mustGoOn(act.gateway, stream)
      const goesOn = model.takeUp(act.gateway, stream)
      expect([...stream.builds]).toEqual([stream.trueBuild])
      if (mustGoOn && !model.delaysMessages) expect(goesOn).toBe(true)
      break
    }
    case 'startEndpoint': model.startEndpoint(act.place, act.build, act.isNamed); break
    case 'startGateway': model.startGateway(act.gateway); break
    case 'startControl': model.startControl(act.control); break
    case 'cut': model.cut(act.gateway, act.control); break
    case 'heal': model.heal(act.gateway, act.control); break
    case 'deliver': model.deliver(act.twice); break
    case 'wait': model.now += act.ms; break
  }
}

function newModel (delaysMessages: boolean): Model {
  const model = new Model(delaysMessages)
  for (let place = 0; place < PLACES; place += 1) model.startEndpoint(place, BUILDS[place % 2] ?? '', true)
  return model
}

describe('streams, gateways and builds', () => {
  it(`never join events of two builds, whatever is late, repeated, lost or unknown (seed ${SEED})`, () => {
    fc.assert(fc.property(fc.array(action, { maxLength: 120 }), (acts) => {
      const model = newModel(true)
      for (const act of acts) play(model, act)
    }), { seed: SEED, numRuns: RUNS })
  })

  it(`go on wherever a process in touch knows the build and an endpoint has it (seed ${SEED})`, () => {
    fc.assert(fc.property(fc.array(action, { maxLength: 120 }), (acts) => {
      const model = newModel(false)
      for (const act of acts) play(model, act)
    }), { seed: SEED, numRuns: RUNS })
  })
})
