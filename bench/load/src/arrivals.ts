/** Arrivals drawn from a seed: Poisson for each class, with bursts, and lengths of answers with a long tail. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { promptText } from '@gullwall/bench.answers'
import { type LoadClass, type Scenario } from './scenario.ts'

/** One request to come. */
export interface Arrival {
  atMs: number
  load: LoadClass
  id: string
  prompt: string
  tokens: number
}

const MS_PER_SECOND = 1000

/** Draws all arrivals of a scenario, in order of time. */
export function drawArrivals (scenario: Scenario): Arrival[] {
  const arrivals = scenario.classes.flatMap((load, index) => drawClass(scenario, load, index))
  return arrivals.sort((left, right) => left.atMs - right.atMs)
}

function drawClass (scenario: Scenario, load: LoadClass, index: number): Arrival[] {
  const SEED_STEP = 7919
  const random = xoroshiro128plus(scenario.seed * SEED_STEP + index)
  const arrivals: Arrival[] = []
  let seconds = 0
  for (let count = 0; ; count++) {
    seconds += exponential(random) / rateAt(load, seconds)
    if (seconds >= scenario.seconds) return arrivals
    const tokens = drawTokens(random, load)
    const id = `${load.class}-${load.organisation}-${count}`
    const opening = `You answer for ${load.organisation}, topic ${Math.floor(uniformFloat64(random) * load.openings)}, briefly and exactly. `.padEnd(80, '.')
    arrivals.push({ atMs: seconds * MS_PER_SECOND, load, id, prompt: promptText(id, tokens, opening), tokens })
  }
}

function rateAt (load: LoadClass, seconds: number): number {
  const burst = load.bursts.find((candidate) => seconds >= candidate.atSeconds && seconds < candidate.atSeconds + candidate.seconds)
  return load.ratePerSecond * (burst?.factor ?? 1)
}

function drawTokens (random: RandomGenerator, load: LoadClass): number {
  const { median, sigma, max } = load.tokens
  return Math.max(1, Math.min(max, Math.round(median * Math.exp(sigma * normal(random)))))
}

function exponential (random: RandomGenerator): number {
  return -Math.log(1 - uniformFloat64(random))
}

/** Box and Muller. */
function normal (random: RandomGenerator): number {
  const radius = Math.sqrt(2 * exponential(random))
  return radius * Math.cos(2 * Math.PI * uniformFloat64(random))
}
