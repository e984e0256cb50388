/** Guards against a member that is brought up to date by a snapshot and then holds another text than was acknowledged. */
import { afterEach, describe, expect, it } from 'vitest'
import { Cluster } from './cluster.ts'
import { followAsOlderBuild, sendSnapshotsAsOlderBuild } from './older-builds.ts'

const NAMES = ['m1', 'm2', 'm3']
const SEED = 5
const ENTRIES_UNTIL_SNAPSHOT = 14
const TEXT_CHARACTERS = 120_000
const JOINED_MS = 5000
const MORE_TIME_FOR_SMALL_PARTS = 4

let cluster: Cluster

afterEach(() => cluster.stop())

/** Has the leader acknowledge commands that hold a text, and gives the other members. */
async function acknowledge (text: string): Promise<{ leader: string, away: string }> {
  await cluster.start()
  const leader = cluster.leader()?.name ?? ''
  for (let sent = 1; sent <= ENTRIES_UNTIL_SNAPSHOT; sent += 1) {
    cluster.proposeText(leader, text)
    await cluster.until(() => cluster.acknowledged.length === sent)
  }
  return { leader, away: NAMES.find((name) => name !== leader) ?? '' }
}

/** Has a member lose its disk and be added again. */
async function loseDisk (away: string): Promise<void> {
  await cluster.loseDisk(away)
  void cluster.readmit(away)
  await cluster.advance(JOINED_MS)
}

function expectWhole (away: string): void {
  const { node, machine } = cluster.get(away)
  expect(node.log.snapshotIndex).toBeGreaterThan(0)
  expect(machine.commands.length).toBe(cluster.acknowledged.length)
  expect(machine.commands.findIndex((command, place) => command !== cluster.acknowledged[place])).toBe(-1)
}

describe('a member that is brought up to date by a snapshot of several parts', () => {
  it.each([
    ['of two units each, at even places', '🥖'.repeat(TEXT_CHARACTERS / 2)],
    ['of two units each, at odd places', `x${'🥖'.repeat(TEXT_CHARACTERS / 2)}`],
    ['of one unit, with a byte order mark among them', `${'漢'.repeat(99)}\ufeff`.repeat(TEXT_CHARACTERS / 100)],
    ['that are all byte order marks', '\ufeff'.repeat(TEXT_CHARACTERS)]
  ])('holds what was acknowledged, with characters %s', async (_what, text) => {
    cluster = new Cluster(NAMES, SEED)
    const { away } = await acknowledge(text)
    await loseDisk(away)
    expectWhole(away)
  })

  it.each(['data', 'digest'] as const)('refuses one whose %s has changed on its way, and takes the next one', async (changed) => {
    cluster = new Cluster(NAMES, SEED)
    const { away } = await acknowledge('🥖'.repeat(TEXT_CHARACTERS / 2))
    let changes = 0
    cluster.onRequest = (_to, message) => {
      if (changes > 0 || message.kind !== 'snapshotPart' || message.digest === undefined) return message
      changes += 1
      if (changed === 'digest') return { ...message, digest: message.digest.replace(/^./, (digit) => digit === '0' ? '1' : '0') }
      const data = Buffer.from(message.data)
      data[0] = (data[0] ?? 0) ^ 1
      return { ...message, data }
    }
    await loseDisk(away)
    expect(changes).toBe(1)
    expectWhole(away)
  })

  it.each([1, 2, 3, 4])('of an older build that takes text only holds what was acknowledged (parts of %s bytes)', async (partBytes) => {
    cluster = new Cluster(NAMES, SEED)
    cluster.snapshotPartBytes = partBytes
    cluster.onBoot = (_name, node) => followAsOlderBuild(node)
    const { away } = await acknowledge('🥖é漢')
    await loseDisk(away)
    await cluster.advance(JOINED_MS * MORE_TIME_FOR_SMALL_PARTS)
    expectWhole(away)
  })
})

describe('a member whose leader is of a build that cuts text anywhere', () => {
  it('takes no snapshot in which a character was cut, and takes the whole from a leader of this build', async () => {
    cluster = new Cluster(NAMES, SEED)
    cluster.snapshotPartBytes = 512
    let isOlder = true
    sendSnapshotsAsOlderBuild(() => isOlder)
    const { away } = await acknowledge('🥖'.repeat(300))
    await loseDisk(away)
    expect(cluster.get(away).machine.commands).toEqual([])
    isOlder = false
    await cluster.advance(JOINED_MS)
    expectWhole(away)
  })

  it('takes a snapshot in which none was cut', async () => {
    cluster = new Cluster(NAMES, SEED)
    cluster.snapshotPartBytes = 512
    sendSnapshotsAsOlderBuild(() => true)
    const { away } = await acknowledge('漢\ufffd'.repeat(300))
    await loseDisk(away)
    expectWhole(away)
  })
})
