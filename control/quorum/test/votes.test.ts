/** A member votes once in a term, whatever it did in earlier ones and whatever crashed meanwhile. */
import { afterEach, beforeEach, expect, it } from 'vitest'
import { type MessageOf } from '@gullwall/transport.messages'
import { Cluster } from './cluster.ts'

const NAMES = ['m1', 'm2', 'm3']
const SEED = 5
/** Longer than any member hears of a leader that is gone, in ms. */
const SILENCE_MS = 3000

let cluster: Cluster

beforeEach(async () => {
  cluster = new Cluster(NAMES, SEED)
  await cluster.start()
  // Nobody hears of anybody; the votes are asked for by hand.
  for (const from of NAMES) {
    for (const to of NAMES) cluster.cuts.add(`${from}>${to}`)
  }
  await cluster.advance(SILENCE_MS)
})
afterEach(() => cluster.stop())

/** Asks m3 for a vote. */
async function ask (candidate: string, term: number): Promise<boolean> {
  const { node } = cluster.get('m3')
  const message: MessageOf<'vote'> = {
    kind: 'vote', to: node.vote.incarnation, term, candidate, lastIndex: 1000, lastTerm: 1000, prevote: false, handover: false
  }
  const reply = await node.handle(message)
  return reply.kind === 'voted' && reply.granted
}

it('does not forget whom it voted for where it voted for the same candidate in an earlier term', async () => {
  const { term } = cluster.get('m3').node.vote
  for (const later of [10, 11, 12]) {
    expect(await ask('m1', term + later)).toBe(true)
    expect(await ask('m2', term + later)).toBe(false)
    expect(await ask('m1', term + later)).toBe(true)
  }
})

it('does not forget whom it voted for over a crash', async () => {
  const { term } = cluster.get('m3').node.vote
  expect(await ask('m1', term + 10)).toBe(true)
  cluster.crash('m3')
  await cluster.restart('m3')
  expect(await ask('m2', term + 10)).toBe(false)
})
