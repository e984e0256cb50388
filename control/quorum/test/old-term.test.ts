/**
 * An entry of an earlier term is not committed by counting its holders: a leader of a term in between may still replace it.
 * Random sequences do not come upon this, so that it is brought about step by step.
 */
import { expect, it, vi } from 'vitest'
import { type QuorumNode } from '@gullwall/control.quorum'
import { Leader } from '../src/leader.ts'
import { Cluster } from './cluster.ts'
import { settle } from './oracle.ts'

const NAMES = ['m1', 'm2', 'm3']
const SEEDS = [1, 2, 3]
/** Longer than what goes into one append. */
const LONG = 600 * 1024
const MAJORITY = 2
const ENOUGH_MS = 20_000

/** What the mutation needs of a leader and keeps from others. */
interface OpenLeader {
  countVoters: (holds: (peer: { matchIndex: number }) => boolean, holdsItself: boolean) => number
  node: QuorumNode
}

/** Commits whatever a majority holds, of any term. */
function commitByCount (): void {
  vi.spyOn(Leader.prototype as unknown as { advanceCommit: () => void }, 'advanceCommit').mockImplementation(function (this: Leader) {
    const { log, commitIndex } = this
    const leader = this as unknown as OpenLeader
    for (let index = log.lastIndex; index > commitIndex; index--) {
      if (leader.countVoters((peer) => peer.matchIndex >= index, log.syncedIndex >= index) < MAJORITY) continue
      leader.node.commitTo(index)
      return
    }
  })
}

/** Lets an old leader spread its entries bit by bit while a leader of a later term is down, and has that one come back. */
async function story (seed: number, mutate?: () => void): Promise<string | undefined> {
  const cluster = new Cluster(NAMES, seed)
  const step = async (holds: () => boolean) => {
    for (let ms = 0; ms < ENOUGH_MS && !holds(); ms++) await cluster.advance(1)
    if (!holds()) throw new Error('the story did not come about')
  }
  try {
    mutate?.()
    await cluster.start()
    await cluster.advance(1000)
    const old = cluster.leader()?.name ?? ''
    const others = NAMES.filter((name) => name !== old)
    // Two long entries are at the old leader only.
    for (const other of others) cluster.cuts.add(`${old}>${other}`)
    const first = cluster.get(old).node.log.lastIndex + 1
    for (let count = 0; count < 2; count++) cluster.propose(old, LONG)
    await cluster.advance(10)
    cluster.crash(old)
    // The next leader has its first entry on its own disk only.
    await step(() => others.some((name) => cluster.get(name).node.role === 'leader'))
    const next = cluster.leader()?.name ?? ''
    const last = others.find((name) => name !== next) ?? ''
    cluster.cuts.add(`${next}>${last}`)
    await cluster.advance(20)
    cluster.crash(next)
    // The old one leads again, and its entries reach the last one singly; its own new entry does not.
    cluster.cuts.clear()
    await cluster.restart(old)
    await step(() => cluster.get(last).node.log.lastIndex > first)
    cluster.cuts.add(`${old}>${last}`)
    await cluster.advance(20)
    cluster.crash(old)
    // The one in between has the later term, and leads.
    await cluster.restart(next)
    await step(() => cluster.get(next).node.role === 'leader')
    return await settle(cluster)
  } finally {
    cluster.stop()
  }
}

it.each(SEEDS)('entries of an earlier term are not committed by count, seed %i', async (seed) => {
  expect(await story(seed)).toBeUndefined()
}, 60_000)

it.each(SEEDS)('the oracle sees it where they are, seed %i', async (seed) => {
  expect(await story(seed, commitByCount)).toContain('differ')
}, 60_000)
