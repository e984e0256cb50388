/** The stateful fuzz of the quorum: random sequences of faults and work. */
import fc from 'fast-check'
import { Cluster } from './cluster.ts'
import { checkAgreement, settle } from './oracle.ts'
import { type CrashEffect } from '@gullwall/control.storage'

export const NAMES = ['m1', 'm2', 'm3']

const name = fc.constantFrom(...NAMES)
const effect = fc.constantFrom<CrashEffect>('lost', 'torn', 'kept')

/** One step of a sequence. */
export type Step =
  | { do: 'propose', at: string, times: number }
  | { do: 'read', at: string }
  | { do: 'crash' | 'restart' | 'isolate', at: string }
  | { do: 'crashAtNextWrite', at: string, effect: CrashEffect }
  | { do: 'loseDisk', at: string }
  | { do: 'cut', from: string, to: string }
  | { do: 'heal' }
  | { do: 'advance', ms: number }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('propose' as const), at: name, times: fc.integer({ min: 1, max: 5 }) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('read' as const), at: name }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constantFrom('crash' as const, 'isolate' as const), at: name }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('restart' as const), at: name }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('crashAtNextWrite' as const), at: name, effect }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('loseDisk' as const), at: name }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('cut' as const), from: name, to: name }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
  { weight: 8, arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(5, 30, 200, 1500) }) }
)

export interface FuzzOptions {
  runs: number
  seed: number
  /** Bends the code under test, to show that the oracle sees it. */
  mutate?: () => void
  /** See `QuorumTiming`; 1 unless given. */
  firstElectionShare?: number
}

/** Gives the report of fast-check: the seed, and the shrunk sequence if one failed. */
export async function fuzz (options: FuzzOptions): Promise<fc.RunDetails<[Step[], number]>> {
  const property = fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), fc.integer(), async (steps, seed) => {
    const failure = await runSteps(steps, seed, options)
    if (failure !== undefined) throw new Error(failure)
  })
  return await fc.check(property, { numRuns: options.runs, seed: options.seed, endOnFailure: options.mutate !== undefined })
}

export async function runSteps (steps: readonly Step[], seed: number, options: Pick<FuzzOptions, 'mutate' | 'firstElectionShare'> = {}): Promise<string | undefined> {
  const cluster = new Cluster(NAMES, seed, options.firstElectionShare)
  let failure: string | undefined
  const note = (found: string | undefined) => { failure ??= found }
  try {
    options.mutate?.()
    await cluster.start()
    const reads: Array<Promise<void>> = []
    for (const next of steps) {
      await applyStep(cluster, next, reads)
      note(checkAgreement(cluster))
    }
    note(await settle(cluster))
    await Promise.all(reads).catch((error: Error) => note(error.message))
    return failure
  } finally {
    cluster.stop()
  }
}

export async function applyStep (cluster: Cluster, next: Step, reads: Array<Promise<void>>): Promise<void> {
  switch (next.do) {
    case 'propose':
      for (let time = 0; time < next.times; time++) cluster.propose(next.at)
      break
    case 'read': {
      const read = cluster.read(next.at)
      read.catch(() => {})
      reads.push(read)
      break
    }
    case 'crash': cluster.crash(next.at); break
    case 'restart': await cluster.restart(next.at); break
    case 'crashAtNextWrite': cluster.crashAtNextWrite(next.at, next.effect); break
    case 'loseDisk': await loseDisk(cluster, next.at); break
    case 'isolate':
      for (const other of NAMES) cluster.cuts.add(`${next.at}>${other}`).add(`${other}>${next.at}`)
      break
    case 'cut': cluster.cuts.add(`${next.from}>${next.to}`); break
    case 'heal': cluster.cuts.clear(); break
    case 'advance': await cluster.advance(next.ms); break
  }
}

/** A disk is lost only while the other two have theirs: no protocol on three survives two lost disks. */
async function loseDisk (cluster: Cluster, lost: string): Promise<void> {
  for (const name of NAMES) await cluster.restart(name)
  cluster.cuts.clear()
  const isVoter = (name: string) => cluster.leader()?.membership.voters[name]?.incarnation === cluster.get(name).node.vote.incarnation
  const isWhole = () => NAMES.every(isVoter)
  if (!await cluster.until(isWhole, 5000)) await readmitAll(cluster)
  if (!isWhole()) return
  await cluster.loseDisk(lost)
  await cluster.advance(50)
}

/** A member that is slowed counts as lost until it has had time to catch up, and no more than one may be lost at once. */
export async function loseDiskInCalm (cluster: Cluster, lost: string, calmMs: number): Promise<void> {
  cluster.answerDelays.clear()
  cluster.requestDelays.clear()
  await cluster.advance(calmMs)
  await loseDisk(cluster, lost)
}

/** What an operator does after a lost disk: remove the member and add it again. */
export async function readmitAll (cluster: Cluster): Promise<void> {
  for (const name of NAMES) {
    const known = cluster.leader()?.membership.voters[name]
    if (known?.incarnation === cluster.get(name).node.vote.incarnation) continue
    let isOver = false
    void cluster.readmit(name).then(() => { isOver = true })
    await cluster.advance(3000)
    // A snapshot of many parts takes longer, and a member that refuses it is never taken.
    await cluster.until(() => isOver)
  }
}
