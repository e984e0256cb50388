/** Random texts in snapshots of any part length, with lost, doubled and late messages, lost disks, new leaders and an older member. */
import { describe, expect, it, vi } from 'vitest'
import fc from 'fast-check'
import { IncomingSnapshot } from '../src/incoming-snapshot.ts'
import { Cluster } from './cluster.ts'
import { applyStep, loseDiskInCalm, NAMES, readmitAll, type Step } from './fuzz.ts'
import { followAsOlderBuild, sendSnapshotsAsOlderBuild } from './older-builds.ts'
import { checkAgreement, settle } from './oracle.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60)
const SEED = Number(process.env['FUZZ_SEED'] ?? 20261205)
const CALM_MS = 4000

type TextStep =
  | Step
  | { do: 'text', text: string }
  | { do: 'late requests', at: string, ms: number }
  | { do: 'doubled', share: number }

interface Run {
  steps: TextStep[]
  seed: number
  partBytes: number
  /** The member of a build that takes and sends text only, if there is one. */
  older: string | undefined
}

const name = fc.constantFrom(...NAMES)
/** Latin, combining, Chinese, beyond the basic plane, a byte order mark, a replacement character, controls, a half as an escape. */
const character = fc.constantFrom('a', 'e\u0301', '漢', '🥖', '👩‍👧', '\ufeff', '\ufffd', '\u0000', '\u2028', '\\ud83e')
const text = fc.array(character, { maxLength: 24 }).map((characters) => characters.join(''))
const step: fc.Arbitrary<TextStep> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ do: fc.constant('text' as const), text }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('loseDisk' as const), at: name }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constantFrom('crash' as const, 'restart' as const), at: name }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cut' as const), from: name, to: name }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('late requests' as const), at: name, ms: fc.constantFrom(0, 300, 1050) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('doubled' as const), share: fc.constantFrom(0, 0.3) }) },
  { weight: 4, arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(30, 200, 1500) }) }
)
const run: fc.Arbitrary<Run> = fc.record({
  steps: fc.array(step, { minLength: 8, maxLength: 30 }),
  seed: fc.integer(),
  partBytes: fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 30, max: 90 }) }, { weight: 1, arbitrary: fc.constantFrom(7, 1000) }),
  older: fc.option(name, { nil: undefined, freq: 2 })
})

async function applyText (cluster: Cluster, next: TextStep): Promise<void> {
  switch (next.do) {
    case 'text': cluster.proposeText(cluster.leader()?.name ?? NAMES[0] ?? '', next.text); break
    case 'late requests': cluster.requestDelays.set(next.at, next.ms); break
    case 'doubled': cluster.doubledShare = next.share; break
    case 'loseDisk': await loseDiskInCalm(cluster, next.at, CALM_MS); break
    default: await applyStep(cluster, next, [])
  }
}

/** Where no member is older, a member that lost its disk has everything again. */
async function checkWhole (cluster: Cluster): Promise<string | undefined> {
  await readmitAll(cluster)
  await cluster.advance(CALM_MS)
  const leader = cluster.leader()
  const late = NAMES.find((member) => cluster.get(member).node.commitIndex < (leader?.commitIndex ?? Infinity))
  return late === undefined ? checkAgreement(cluster) : `${late} has not caught up`
}

async function play ({ steps, seed, partBytes, older }: Run, mutate = (_cluster: Cluster) => {}): Promise<string | undefined> {
  const cluster = new Cluster(NAMES, seed)
  let failure: string | undefined
  const note = (found: string | undefined) => { failure ??= found }
  try {
    cluster.snapshotPartBytes = partBytes
    for (const member of NAMES) cluster.snapshotEvery.set(member, 3)
    cluster.onBoot = (booted, node) => { if (booted === older) followAsOlderBuild(node) }
    if (older !== undefined) sendSnapshotsAsOlderBuild((leading) => leading === older)
    mutate(cluster)
    await cluster.start()
    for (const next of steps) {
      await applyText(cluster, next)
      note(checkAgreement(cluster))
    }
    cluster.requestDelays.clear()
    cluster.doubledShare = 0
    note(await settle(cluster))
    if (older === undefined) note(await checkWhole(cluster))
    return failure
  } finally {
    cluster.stop()
  }
}

describe('the texts that members hold after snapshots', () => {
  it('equal what was acknowledged, or do not come', async () => {
    console.log(`seed ${SEED}, ${RUNS} sequences`)
    const property = fc.asyncProperty(run, async (played) => {
      const failure = await play(played)
      if (failure !== undefined) throw new Error(failure)
    })
    const details = await fc.check(property, { numRuns: RUNS, seed: SEED })
    expect(details.failed, `${String(details.errorInstance)}\n${fc.defaultReportMessage(details) ?? ''}`).toBe(false)
  }, 3_600_000)

  it('are seen to differ where a member takes parts without their digest and a byte of one has changed', async () => {
    const takeUnchecked = (cluster: Cluster) => {
      const parts: Uint8Array[] = []
      vi.spyOn(IncomingSnapshot.prototype, 'add').mockImplementation((part) => {
        if (part.kind !== 'snapshotPart') return undefined
        if (part.offset === 0) parts.length = 0
        parts.push(part.data)
        return part.digest === undefined ? undefined : Buffer.concat(parts)
      })
      cluster.onRequest = (_to, message) => message.kind === 'snapshotPart'
        ? { ...message, data: Buffer.from(Buffer.from(message.data).toString('latin1').replace('comm', 'conn'), 'latin1') }
        : message
    }
    const property = fc.asyncProperty(run, async (played) => {
      const failure = await play({ ...played, older: undefined }, takeUnchecked)
      if (failure !== undefined) throw new Error(failure)
    })
    const details = await fc.check(property, { numRuns: RUNS, seed: SEED, endOnFailure: true })
    expect(details.failed).toBe(true)
    expect(String(details.errorInstance)).toMatch(/differ|is lost/)
  }, 120_000)
})
