/** Guards against a leave that is acknowledged and then forgotten, since it was only in the memory of the processes that were killed. */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { lifeOf } from '@gullwall/control.registry'
import { type NoteCrashesCommand } from '@gullwall/control.state'
import { LogFile, MemoryDisk, readChecked } from '@gullwall/control.storage'
import { type Lease } from '@gullwall/transport.messages'
import { running, start, stopAll, type Control } from './control-processes.ts'
import { closeEntries, Entry } from './entries.ts'

/** The users' bound for an acknowledgement, and after how long an endpoint calls the next process, in ms. */
const ACK_MS = 4000
const CALL_TIMEOUT_MS = 1000
const CALL_PAUSE_MS = 100
const BORN = 1000
/** Of five voters. */
const MAJORITY = 3
/** How the data of an entry that holds a command begins. */
const COMMAND = 'c'

let addresses: string[] = []
const disks = new Map<string, MemoryDisk>()

const lease = (name: string, state: Lease['state'], sequence: number, born = BORN): Lease => ({
  ...lifeOf(name, born), service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, ageMs: 0, state, sequence
})
const controls = () => addresses.map((address) => running.get(address) as Control)
const leader = () => [...running.values()].find((control) => control.get('quorum').role === 'leader')
const voters = (control: Control) => control.get('quorum').status().voters.length

beforeEach(async () => {
  addresses = await freeAddresses(5)
  disks.clear()
  for (const address of addresses) disks.set(address, new MemoryDisk())
  await Promise.all(addresses.map(async (address) => await start({ address, seeds: addresses, disk: disks.get(address) })))
  await until('five voters', () => controls().every((control) => voters(control) === 5))
})
afterEach(async () => {
  closeEntries()
  await stopAll()
})

/** Has each write of a disk refused, or hang until the result is called. */
function harm (disk: MemoryDisk, how: string): () => void {
  const { append, replace, truncate } = disk
  let mend = () => {}
  const mended = new Promise<void>((resolve) => {
    mend = () => {
      Object.assign(disk, { append, replace, truncate })
      resolve()
    }
  })
  const fail = async () => {
    if (how === 'hangs') await mended
    throw new Error('no space left')
  }
  Object.assign(disk, { append: fail, replace: fail, truncate: fail })
  return mend
}

/** Calls one process after the other until one acknowledges, as endpoints do; returns how long that took, in ms. */
async function tell (leaving: Lease, first = 0): Promise<number> {
  const begun = performance.now()
  for (let index = first; performance.now() - begun < ACK_MS + CALL_TIMEOUT_MS; index += 1) {
    const control = controls()[index % controls().length]
    const told = control?.get('registrar').receiveHeartbeat(leaving).then(() => true, () => false)
    if (await Promise.race([told, sleep(CALL_TIMEOUT_MS, false)]) === true) return performance.now() - begun
    await sleep(CALL_PAUSE_MS)
  }
  throw new Error('the leave was not acknowledged')
}

/** Two endpoints are ready and on all disks, a third one has just started, and the first one leaves at a process. */
async function leaveBesideStart (at: number): Promise<void> {
  await tell(lease('left', 'ready', 4), at)
  await tell(lease('stays', 'ready', 4), at)
  const isStored = async (disk: MemoryDisk) => (await readChecked(disk, 'leases'))?.includes('stays') === true
  await until('the leases on all disks', async () => (await Promise.all([...disks.values()].map(isStored))).every(Boolean), 10_000)
  await tell(lease('new', 'ready', 1), at)
  await sleep(20)
  await tell(lease('left', 'gone', 5), at)
}

/** Whether the log on a disk has the entry of an endpoint that is gone. */
async function isLogged (disk: MemoryDisk, { incarnation }: Lease): Promise<boolean> {
  const { entries } = await LogFile.open(disk)
  return entries.some(({ data }) => {
    if (!data.startsWith(COMMAND)) return false
    const { leaves = [] } = JSON.parse(data.slice(COMMAND.length)) as Partial<NoteCrashesCommand>
    return leaves.some((leave) => leave.incarnation === incarnation && leave.state === 'gone')
  })
}

/** Kills all processes at the moment of this call, and starts them again; some with empty disks. */
async function killAll (lost: readonly number[]): Promise<void> {
  const kept = addresses.map((address, index) => lost.includes(index) ? new MemoryDisk() : disks.get(address)?.reopened())
  for (const control of running.values()) control.get('quorum').kill()
  await stopAll()
  for (const [index, address] of addresses.entries()) disks.set(address, kept[index] ?? new MemoryDisk())
  await Promise.all(addresses.map(async (address, index) => (
    await start({ address, seeds: addresses, disk: disks.get(address), founds: !lost.includes(index) })
  )))
}

/** The states of an endpoint that entries were told, by any process. */
const toldOf = (entry: Entry, { incarnation }: Lease) => entry.received.flatMap(({ message }) => (
  message.kind === 'leases' ? message.leases.filter((told) => told.incarnation === incarnation).map(({ state }) => state) : []
))

const LOST: ReadonlyArray<[string, number[]]> = [['with all disks', []], ['without the disks of two others', [3, 4]], ['without its own disk and another', [0, 1]]]

describe('an acknowledged leave', () => {
  it.each(LOST)('is told to no entry as ready after all processes were killed right after it, %s', async (_what, lost) => {
    await leaveBesideStart(0)
    await killAll(lost)
    const entry = new Entry('entry-1', 'dc1', addresses)
    // Heartbeats that were under way before the leave arrive now, at each process.
    await Promise.all(controls().map(async (control) => await control.get('registrar').receiveHeartbeat(lease('left', 'ready', 4))))
    await until('the entry to know the endpoints that stay', () => toldOf(entry, lease('stays', 'ready', 4)).includes('ready'), 10_000)
    for (const control of controls()) await control.get('registrar').receiveHeartbeat(lease('left', 'ready', 4))
    await until('each process to tell', () => addresses.every((address) => entry.received.some(({ from, message }) => (
      from === address && message.kind === 'leases' && message.leases.some(({ state }) => state === 'ready')
    ))), 10_000)
    expect(toldOf(entry, lease('left', 'ready', 4))).not.toContain('ready')
    // Another start under the same name is another incarnation.
    await tell(lease('left', 'ready', 1, BORN + 1))
    await until('the next life', () => toldOf(entry, lease('left', 'ready', 1, BORN + 1)).includes('ready'))
  }, 40_000)

  it.each(['refuses', 'hangs'])('comes in time while the disk of one process %s, be it that of the leader or another', async (how) => {
    await tell(lease('left', 'ready', 1))
    const ofLeader = addresses.find((address) => running.get(address) === leader()) ?? ''
    const ofOther = addresses.find((address) => address !== ofLeader) ?? ''
    for (const address of [ofOther, ofLeader]) {
      const mend = harm(disks.get(address) as MemoryDisk, how)
      expect(await tell(lease(`left-${address}`, 'gone', 2), addresses.indexOf(address))).toBeLessThan(ACK_MS)
      mend()
    }
  }, 40_000)

  it('is not given while most disks refuse', async () => {
    await tell(lease('left', 'ready', 1))
    for (const address of addresses.slice(0, 3)) harm(disks.get(address) as MemoryDisk, 'refuses')
    for (const control of controls()) {
      await expect(control.get('registrar').receiveHeartbeat(lease('left', 'gone', 2))).rejects.toMatchObject({ code: 'ERR_GULLWALL_NO_QUORUM' })
    }
  }, 40_000)

  it('is confirmed to a process of an older build only once a majority has it on its disks', async () => {
    const [asking] = controls() as [Control]
    const leaving = lease('left', 'gone', 2)
    const ask = async () => await asking.get('peers').call(addresses[1] ?? '', { kind: 'leases', leases: [leaving] }, 'done', CALL_TIMEOUT_MS)
    await until('the confirmation', async () => await ask().then(() => true, () => false))
    const copies = [...disks.values()].map((disk) => disk.reopened())
    for (const control of controls()) control.get('quorum').kill()
    const stored = await Promise.all(copies.map(async (disk) => await isLogged(disk, leaving)))
    expect(stored.filter(Boolean).length).toBeGreaterThanOrEqual(MAJORITY)
    await expect(asking.get('peers').call(addresses[1] ?? '', { kind: 'leases', leases: [lease('later', 'gone', 2)] }, 'done', CALL_TIMEOUT_MS)).rejects.toBeDefined()
  }, 40_000)
})
