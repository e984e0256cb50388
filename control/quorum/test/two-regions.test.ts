/** Five voters, three in one region and two in the other, and the link between the regions is cut. */
import { afterEach, describe, expect, it } from 'vitest'
import { Cluster } from './cluster.ts'

const NORTH = ['n1', 'n2', 'n3']
const SOUTH = ['s1', 's2']
const ALL = [...NORTH, ...SOUTH]
/** Far more than an election takes, in ms. */
const LONG_MS = 10_000
const MAX_CRASHES = 40
const SEED = Number(process.env['FUZZ_SEED'] ?? 5)

let cluster: Cluster | undefined
afterEach(() => cluster?.stop())

/** A cluster whose leader stands in a region: leaders elsewhere crash and come back. */
async function ledIn (region: readonly string[]): Promise<Cluster> {
  console.log(`seed ${SEED}`)
  const made = new Cluster(ALL, SEED)
  cluster = made
  await made.start()
  for (let crashes = 0; crashes < MAX_CRASHES; crashes += 1) {
    const leader = made.leader()?.name ?? ''
    if (region.includes(leader)) return made
    made.crash(leader)
    await made.until(() => made.leader() !== undefined)
    await made.restart(leader)
    await made.advance(LONG_MS)
  }
  throw new Error('nobody there was elected')
}

function cutRegions ({ cuts }: Cluster): void {
  for (const north of NORTH) for (const south of SOUTH) cuts.add(`${north}>${south}`).add(`${south}>${north}`)
}

/** Whether a member acknowledges a command, or a read, within so long. */
async function takes (made: Cluster, name: string, what: 'command' | 'read'): Promise<boolean> {
  const { node } = made.get(name)
  let outcome: boolean | undefined
  const asked: Promise<unknown> = what === 'command' ? node.propose(`at ${name}`) : node.confirmRead()
  asked.then(() => { outcome = true }, () => { outcome = false })
  await made.until(() => outcome !== undefined, LONG_MS)
  return outcome ?? false
}

function leads (made: Cluster, names: readonly string[]): string[] {
  return names.filter((name) => made.get(name).node.role === 'leader')
}

describe('regions that are cut off from each other', () => {
  it('the larger keeps its leader and goes on; the smaller takes no order and is sure of nothing', async () => {
    const made = await ledIn(NORTH)
    const leader = made.leader()?.name ?? ''
    const term = made.leader()?.vote.term
    cutRegions(made)
    await made.advance(LONG_MS)
    expect(leads(made, ALL)).toEqual([leader])
    expect(await takes(made, leader, 'command')).toBe(true)
    for (const name of SOUTH) {
      expect(await takes(made, name, 'command')).toBe(false)
      expect(await takes(made, name, 'read')).toBe(false)
    }
    made.cuts.clear()
    const commands = () => ALL.map((name) => made.get(name).machine.commands.length)
    expect(await made.until(() => new Set(commands()).size === 1)).toBe(true)
    // Those that were cut off have not raised the term, so that nobody stands for election once they are back.
    expect([made.leader()?.name, made.leader()?.vote.term]).toEqual([leader, term])
  })

  it('a leader in the smaller gives up, and the larger elects one; nothing that was acknowledged is lost', async () => {
    const made = await ledIn(SOUTH)
    const old = made.leader()?.name ?? ''
    expect(await takes(made, old, 'command')).toBe(true)
    cutRegions(made)
    expect(await takes(made, old, 'command')).toBe(false)
    expect(await made.until(() => leads(made, NORTH).length === 1, LONG_MS)).toBe(true)
    const [fresh = ''] = leads(made, NORTH)
    expect(await takes(made, fresh, 'command')).toBe(true)
    expect(await takes(made, old, 'read')).toBe(false)
    made.cuts.clear()
    const logs = () => ALL.map((name) => made.get(name).machine.commands.join())
    expect(await made.until(() => new Set(logs()).size === 1 && leads(made, ALL).length === 1)).toBe(true)
    expect(logs()[0]).toContain(`at ${old},at ${fresh}`)
  })
})
