/** Random late and doubled answers, snapshots at different indices, lost disks and an older member: whoever answers catches up. */
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { Cluster } from './cluster.ts'
import { applyStep, loseDiskInCalm, NAMES, readmitAll, type Step } from './fuzz.ts'
import { followAsOlderBuild, leadAsOlderBuild } from './older-builds.ts'
import { checkAgreement, settle } from './oracle.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60)
const SEED = Number(process.env['FUZZ_SEED'] ?? 20261204)
/** A member that answers has caught up after so long, in ms; the users allow 4 s. */
const CALM_MS = 4000
/** A heartbeat goes to each member every 100 ms, and each change goes out at once, with its commit behind it. */
const MAX_CALM_EXCHANGES = 150

type LateStep =
  | Step
  | { do: 'late answers' | 'late requests', at: string, ms: number }
  | { do: 'snapshots', at: string, every: number }
  | { do: 'doubled', share: number }

interface Run {
  steps: LateStep[]
  seed: number
  /** The member of an older build, if there is one. */
  older: string | undefined
}

const name = fc.constantFrom(...NAMES)
const step: fc.Arbitrary<LateStep> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ do: fc.constant('propose' as const), at: name, times: fc.integer({ min: 1, max: 8 }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('read' as const), at: name }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constantFrom('crash' as const, 'restart' as const), at: name }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('loseDisk' as const), at: name }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cut' as const), from: name, to: name }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
  { weight: 6, arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(30, 200, 900, 2500) }) },
  { weight: 4, arbitrary: fc.record({ do: fc.constantFrom('late answers' as const, 'late requests' as const), at: name, ms: fc.constantFrom(0, 300, 950, 1050, 1700) }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('snapshots' as const), at: name, every: fc.constantFrom(2, 5, 12, 50) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('doubled' as const), share: fc.constantFrom(0, 0.3) }) }
)
const run: fc.Arbitrary<Run> = fc.record({
  steps: fc.array(step, { minLength: 8, maxLength: 40 }), seed: fc.integer(), older: fc.option(name, { nil: undefined })
})

async function applyLate (cluster: Cluster, next: LateStep, reads: Array<Promise<void>>): Promise<void> {
  switch (next.do) {
    case 'late answers': cluster.answerDelays.set(next.at, next.ms); break
    case 'late requests': cluster.requestDelays.set(next.at, next.ms); break
    case 'doubled': cluster.doubledShare = next.share; break
    case 'snapshots':
      cluster.snapshotEvery.set(next.at, next.every)
      Object.assign(cluster.get(next.at).node.options, { snapshotEvery: next.every })
      break
    case 'loseDisk': await loseDiskInCalm(cluster, next.at, CALM_MS); break
    default: await applyStep(cluster, next, reads)
  }
}

/** After calm, every voter holds what the leader holds, and nothing is sent over and over. */
async function checkCaughtUp (cluster: Cluster): Promise<string | undefined> {
  await readmitAll(cluster)
  await cluster.advance(CALM_MS)
  const before = new Map(cluster.exchanges)
  await cluster.advance(CALM_MS)
  const leader = cluster.leader()
  if (leader === undefined) return 'no leader in calm'
  for (const [member, sent] of cluster.exchanges) {
    if (sent - (before.get(member) ?? 0) > MAX_CALM_EXCHANGES) return `${sent - (before.get(member) ?? 0)} requests to ${member} in ${CALM_MS} ms of calm`
  }
  for (const { member, behind } of leader.status().replication) {
    if (behind > 0) return `${member} is ${behind} entries behind`
  }
  const late = Object.keys(leader.membership.voters).find((voter) => cluster.get(voter).node.commitIndex < leader.commitIndex)
  return late === undefined ? undefined : `${late} has not caught up`
}

async function play ({ steps, seed, older }: Run): Promise<string | undefined> {
  const cluster = new Cluster(NAMES, seed)
  let failure: string | undefined
  const note = (found: string | undefined) => { failure ??= found }
  try {
    cluster.onBoot = (booted, node) => { if (booted === older) followAsOlderBuild(node) }
    if (older !== undefined) leadAsOlderBuild((leading) => leading === older)
    await cluster.start()
    const reads: Array<Promise<void>> = []
    for (const next of steps) {
      await applyLate(cluster, next, reads)
      note(checkAgreement(cluster))
    }
    cluster.answerDelays.clear()
    cluster.requestDelays.clear()
    cluster.doubledShare = 0
    note(await settle(cluster))
    note(await checkCaughtUp(cluster))
    await Promise.all(reads).catch((error: Error) => note(error.message))
    return failure
  } finally {
    cluster.stop()
  }
}

describe('the quorum with late, lost and doubled answers', () => {
  it('loses nothing acknowledged and brings every member that answers up to date within a bounded number of exchanges', async () => {
    console.log(`seed ${SEED}, ${RUNS} sequences`)
    const property = fc.asyncProperty(run, async (played) => {
      const failure = await play(played)
      if (failure !== undefined) throw new Error(failure)
    })
    const details = await fc.check(property, { numRuns: RUNS, seed: SEED })
    expect(details.failed, `${String(details.errorInstance)}\n${fc.defaultReportMessage(details) ?? ''}`).toBe(false)
  }, 3_600_000)
})
