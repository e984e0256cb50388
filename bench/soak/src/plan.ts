/** The series of faults of a run, drawn from its seed before it begins. */
import { FAULTS, type FaultKind, type PlannedFault } from './faults.ts'
import { type Random } from './random.ts'

export interface PlanOptions {
  random: Random
  durationMs: number
  gateways: readonly string[]
  controls: readonly string[]
  engines: readonly string[]
  dataCentres: readonly string[]
  /** The kinds to draw from; all where none are given. */
  kinds?: readonly FaultKind[]
}

/** Faults begin in series: short gaps within one, and a calm time after it, in ms. */
const GAP_MS = { from: 50, to: 1500 }
const CALM_MS = { from: 3000, to: 11_000 }
const MAX_SERIES = 5
const LENGTH_MS = { from: 500, to: 5000 }
/** Callers and gateways have found each other before the first fault, in ms. */
const FIRST_MS = 3000
/** No two disks are lost within this time: the one that was lost has to be filled again, in ms. */
const WIPE_SPACING_MS = 25_000
/** Kinds that disturb so much that they are drawn more rarely. */
const RARE: Partial<Record<FaultKind, number>> = { 'kill everything': 0.4, 'stop all gateways': 0.4, burst: 0.5 }

/** Drawn each by itself after all others, so that a seed from before them still gives the same series of the others. */
const APART: readonly FaultKind[] = [
  'request crashes engines', 'engine asks for rest', 'engine leaves unheard', 'all engines ask for rest', 'engine names a limit',
  'all engines shed', 'kill gateways in series', 'part crashes engines', 'engine leaves before a kill', 'all engines reject twice',
  'freeze control in a storm', 'engine refuses after running', 'all engines refuse after running', 'engine sends bytes without end',
  'build replaced beside a kill'
]
const APART_MS = { from: 15_000, to: 35_000 }
const APART_LENGTH_MS = { from: 6000, to: 15_000 }

/** Draws the faults of a run. */
export function planFaults (options: PlanOptions): PlannedFault[] {
  const planned = [...planSeries(options), ...APART.flatMap((kind) => planApart(options, kind))]
  return planned.sort((left, right) => left.atMs - right.atMs)
}

function planApart ({ random, durationMs, gateways, controls, engines, dataCentres, kinds }: PlanOptions, kind: FaultKind): PlannedFault[] {
  if (kinds !== undefined && !kinds.includes(kind)) return []
  const planned: PlannedFault[] = []
  for (let atMs = FIRST_MS; atMs < durationMs; atMs += random.between(APART_MS.from, APART_MS.to)) {
    planned.push({
      atMs,
      kind,
      gateway: random.pick(gateways),
      control: random.pick(controls),
      engine: random.pick(engines),
      dataCentre: random.pick(dataCentres),
      durationMs: Math.min(random.between(APART_LENGTH_MS.from, APART_LENGTH_MS.to), durationMs - atMs)
    })
  }
  return planned
}

function planSeries ({ random, durationMs, gateways, controls, engines, dataCentres, kinds }: PlanOptions): PlannedFault[] {
  const drawn = (kinds ?? Object.keys(FAULTS) as FaultKind[]).filter((kind) => !APART.includes(kind))
  if (drawn.length === 0) return []
  const planned: PlannedFault[] = []
  let wipedAt = -Infinity
  for (let atMs = FIRST_MS; atMs < durationMs; atMs += random.between(CALM_MS.from, CALM_MS.to)) {
    for (let left = 1 + Math.floor(random.next() * MAX_SERIES); left > 0 && atMs < durationMs; left--) {
      const kind = drawKind(random, drawn)
      const fault: PlannedFault = {
        atMs,
        kind,
        gateway: random.pick(gateways),
        control: random.pick(controls),
        engine: random.pick(engines),
        dataCentre: random.pick(dataCentres),
        durationMs: Math.min(random.between(LENGTH_MS.from, LENGTH_MS.to), durationMs - atMs)
      }
      atMs += random.between(GAP_MS.from, GAP_MS.to)
      if (kind === 'wipe control' && fault.atMs < wipedAt + WIPE_SPACING_MS) continue
      if (kind === 'wipe control') wipedAt = fault.atMs
      planned.push(fault)
    }
  }
  return planned
}

function drawKind (random: Random, kinds: readonly FaultKind[]): FaultKind {
  for (;;) {
    const kind = random.pick(kinds)
    if (random.chance(RARE[kind] ?? 1)) return kind
  }
}
