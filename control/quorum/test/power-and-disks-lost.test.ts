/** Guards acknowledged commands against the loss of two of five disks while all other members lose power. */
import { afterEach, describe, expect, it } from 'vitest'
import { type CrashEffect } from '@gullwall/control.storage'
import { Cluster } from './cluster.ts'

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5']
const PAIRS = NAMES.flatMap((first, index) => NAMES.slice(index + 1).map((second) => [first, second]))
const EFFECTS: readonly CrashEffect[] = ['lost', 'torn', 'kept']
const COMMANDS = 14
const SEED = Number(process.env['FUZZ_SEED'] ?? 11)
const SEEDS = Number(process.env['FUZZ_RUNS'] ?? 6)

let cluster: Cluster | undefined
afterEach(() => cluster?.stop())

/** Proposes commands, and takes the power away from all members at the moment at which the last one is acknowledged. */
async function losePowerAfterAcknowledgement (made: Cluster, commands: number): Promise<void> {
  let isDark = false
  const wanted = made.acknowledged.length + commands
  const losePower = () => {
    if (made.acknowledged.length < wanted) return
    isDark = true
    for (const name of NAMES) made.crash(name)
  }
  for (let sent = 0; sent < commands; sent += 1) {
    made.propose(made.leader()?.name ?? '', 0, losePower)
    if (sent % 3 === 0) await made.advance(5)
  }
  if (!await made.until(() => isDark)) throw new Error('no acknowledgement')
}

async function findLost (made: Cluster): Promise<string[]> {
  const isSettled = () => {
    const leader = made.leader()
    return leader !== undefined && made.acknowledged.every((command) => made.get(leader.name).machine.commands.includes(command))
  }
  if (await made.until(isSettled)) return []
  const commands = made.get(made.leader()?.name ?? NAMES[0] ?? '').machine.commands
  return made.acknowledged.filter((command) => !commands.includes(command))
}

describe('five members, all of which lose power right after an acknowledgement', () => {
  it.each(PAIRS)('have everything acknowledged although %s and %s come back with empty disks', async (first, second) => {
    console.log(`seeds ${SEED} to ${SEED + SEEDS - 1}`)
    for (let seed = SEED; seed < SEED + SEEDS; seed += 1) {
      const made = new Cluster(NAMES, seed)
      cluster = made
      await made.start()
      await losePowerAfterAcknowledgement(made, COMMANDS)
      await made.restorePower([first ?? '', second ?? ''])
      expect(await findLost(made)).toEqual([])
      made.stop()
    }
  })

  it.each(EFFECTS)('have everything acknowledged although a write that the loss of power meets is %s', async (effect) => {
    for (const [first = '', second = ''] of PAIRS) {
      const made = new Cluster(NAMES, SEED)
      cluster = made
      await made.start()
      const struck = NAMES.find((name) => name !== first && name !== second && name !== made.leader()?.name) ?? ''
      made.propose(made.leader()?.name ?? '')
      await made.advance(50)
      made.crashAtNextWrite(struck, effect)
      await losePowerAfterAcknowledgement(made, 1)
      await made.restorePower([first, second])
      expect(await findLost(made)).toEqual([])
      made.stop()
    }
  })
})
