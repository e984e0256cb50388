/** Guards against a follower that answers but is never brought up to date, since it holds a later snapshot than the leader knows of. */
import { afterEach, describe, expect, it } from 'vitest'
import { type QuorumNode } from '@gullwall/control.quorum'
import { Cluster } from './cluster.ts'
import { followAsOlderBuild, leadAsOlderBuild } from './older-builds.ts'

const NAMES = ['m1', 'm2', 'm3']
const SEED = 3
/** Later than a leader waits for an answer, in ms. */
const LATE_MS = 1500
const COMMANDS = 14
const NEVER = 1000
/** Within this time a member that answers holds everything, in ms: a call that is under way times out first, and ten heartbeats follow. */
const CAUGHT_UP_MS = 2000
/** Each exchange brings the member further, or another one waits for a heartbeat: so many are enough. */
const MAX_EXCHANGES = 40

let cluster: Cluster

afterEach(() => cluster.stop())

function setSnapshotEvery (node: QuorumNode, entries: number): void {
  Object.assign(node.options, { snapshotEvery: entries })
}

/** Brings about a follower that has taken a snapshot of entries for which the leader has no answer. */
async function makeFollowerAhead (leaderTakesSnapshots: boolean): Promise<{ leader: QuorumNode, late: QuorumNode }> {
  const leader = cluster.leader()
  if (leader === undefined) throw new Error('no leader')
  const late = cluster.get(NAMES.find((name) => name !== leader.name) ?? '').node
  for (const name of NAMES) setSnapshotEvery(cluster.get(name).node, NEVER)
  if (leaderTakesSnapshots) setSnapshotEvery(leader, 4)
  await propose(leader, 6)
  setSnapshotEvery(leader, NEVER)
  cluster.answerDelays.set(late.name, LATE_MS)
  setSnapshotEvery(late, 5)
  for (let sent = 0; sent < COMMANDS; sent += 1) await propose(leader, 1)
  await cluster.until(() => late.commitIndex === leader.commitIndex)
  cluster.answerDelays.clear()
  return { leader, late }
}

async function propose (leader: QuorumNode, times: number): Promise<void> {
  const wanted = cluster.acknowledged.length + times
  for (let sent = 0; sent < times; sent += 1) cluster.propose(leader.name)
  if (!await cluster.until(() => cluster.acknowledged.length >= wanted)) throw new Error('not acknowledged')
}

describe.each([
  ['both ends of this build', false, false],
  ['an older follower', true, false],
  ['an older leader', false, true]
])('a follower that holds a later snapshot than the leader knows of, with %s', (_builds, isFollowerOlder, isLeaderOlder) => {
  it.each([[true], [false]])('holds everything soon after its answers are in time again (leader with a snapshot of its own: %s)', async (leaderTakesSnapshots) => {
    cluster = new Cluster(NAMES, SEED)
    await cluster.start()
    const leaderName = cluster.leader()?.name
    if (isLeaderOlder) leadAsOlderBuild((name) => name === leaderName)
    if (isFollowerOlder) NAMES.filter((name) => name !== leaderName).forEach((name) => followAsOlderBuild(cluster.get(name).node))
    const { leader, late } = await makeFollowerAhead(leaderTakesSnapshots)
    expect(cluster.leader()?.name).toBe(leader.name)
    expect(late.log.snapshotIndex).toBeGreaterThan(leader.log.snapshotIndex)
    await propose(leader, 1)
    const before = cluster.exchanges.get(late.name) ?? 0
    await cluster.advance(CAUGHT_UP_MS)
    expect(late.commitIndex).toBe(leader.commitIndex)
    expect(cluster.get(late.name).machine.commands).toEqual(cluster.acknowledged)
    expect((cluster.exchanges.get(late.name) ?? 0) - before).toBeLessThanOrEqual(MAX_EXCHANGES)
    expect(leader.status().replication.find(({ member }) => member === late.name)).toMatchObject({ behind: 0, stalledMs: 0 })
  })
})

it('parts of two snapshots of one leader are not joined', async () => {
  cluster = new Cluster(NAMES, SEED)
  await cluster.start()
  const leader = cluster.leader()
  const follower = cluster.get(NAMES.find((name) => name !== leader?.name) ?? '').node
  const message = { kind: 'install', to: follower.vote.incarnation, term: leader?.vote.term ?? 0, leader: leader?.name ?? '' } as const
  const textOf = (index: number) => JSON.stringify({ index, term: message.term, membership: follower.membership, state: JSON.stringify([`state at ${index}`]) })
  const [first, second] = [textOf(700), textOf(900)]
  const HALF = 40
  const handle = async (index: number, offset: number, text: string) => await follower.handle({
    ...message, index, offset, last: offset > 0, data: offset > 0 ? text.slice(HALF) : text.slice(0, HALF)
  })
  await handle(700, 0, first)
  await handle(900, 0, second)
  // The rest of the first one was sent before the second one began, and arrives late.
  await expect(handle(700, HALF, first)).rejects.toMatchObject({ code: 'ERR_GULLWALL_SNAPSHOT_GAP' })
  expect(follower.commitIndex).toBeLessThan(700)
  await handle(900, 0, second)
  expect(await handle(900, HALF, second)).toMatchObject({ ok: true })
  expect(cluster.get(follower.name).machine.commands).toEqual(['state at 900'])
})
