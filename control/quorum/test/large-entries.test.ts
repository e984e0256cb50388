/** Guards against a member that never catches up, since each append to it joins a large entry to others and exceeds what a link carries. */
import { afterEach, expect, it } from 'vitest'
import { Cluster } from './cluster.ts'

const NAMES = ['m1', 'm2', 'm3']
const SEED = 4
const MESSAGE_CHARACTERS = 4 * 1024 * 1024
const FIRST_CHARACTERS = 500 * 1024
const SECOND_CHARACTERS = 3_900_000
const CAUGHT_UP_MS = 2000

let cluster: Cluster

afterEach(() => cluster.stop())

it('a member that missed a change and a large one behind it catches up', async () => {
  cluster = new Cluster(NAMES, SEED)
  cluster.maxMessageCharacters = MESSAGE_CHARACTERS
  await cluster.start()
  const leader = cluster.leader()?.name ?? ''
  const away = NAMES.find((name) => name !== leader) ?? ''
  cluster.crash(away)
  for (const characters of [FIRST_CHARACTERS, SECOND_CHARACTERS]) {
    const wanted = cluster.acknowledged.length + 1
    cluster.propose(leader, characters)
    expect(await cluster.until(() => cluster.acknowledged.length === wanted)).toBe(true)
  }
  await cluster.restart(away)
  await cluster.advance(CAUGHT_UP_MS)
  expect(cluster.get(away).machine.commands).toHaveLength(2)
})
