import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { MemoryDisk, readChecked, writeChecked } from '@gullwall/control.storage'
import { running, start, stopAll, type Control } from './control-processes.ts'

const lease = { incarnation: 'i-1', service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0, sequence: 1 } as const

afterEach(stopAll)

async function startOn (disk: MemoryDisk): Promise<Control> {
  const [address = ''] = await freeAddresses(1)
  return await start({ address, seeds: [address], disk, tolerance: 0 })
}

async function stop (control: Control): Promise<void> {
  await control.stop()
  running.clear()
}

const knowsLog = (control: Control) => control.get('catchUp').mayTell({ state: 'ready', receivedAt: -Infinity })

describe('LeaseStore', () => {
  it('restores ready and gone endpoints after a restart, before any heartbeat', async () => {
    const disk = new MemoryDisk()
    const first = await startOn(disk)
    await first.get('registrar').receiveHeartbeat(lease)
    first.get('leases').merge([{ ...lease, incarnation: 'i-2', state: 'gone' }])
    await until('both are written', async () => (await readChecked(disk, 'leases'))?.includes('gone') === true)
    await stop(first)
    const second = await startOn(disk.reopened())
    expect(second.get('leases').get('i-1')?.state).toBe('ready')
    expect(second.get('leases').get('i-2')?.state).toBe('gone')
  })

  it('drops leases that are older than what is remembered of leaves, once the log is known', async () => {
    const disk = new MemoryDisk()
    const [address = ''] = await freeAddresses(1)
    const first = await start({ address, seeds: [address], disk, tolerance: 0 })
    await first.get('registrar').receiveHeartbeat(lease)
    await until('it is written', async () => (await readChecked(disk, 'leases'))?.includes('i-1') === true)
    const old = await readChecked(disk, 'leases') ?? ''
    await until('the log to be known', () => knowsLog(first))
    const leaves = Array.from({ length: 4200 }, (_, index) => ({ incarnation: `gone-${index}`, state: 'gone' as const, hasLife: true, at: Date.now() }))
    for (let from = 0; from < leaves.length; from += 100) await first.get('proposer').recordLeaves(leaves.slice(from, from + 100))
    await stop(first)
    await writeChecked(disk, 'leases', old)
    const second = await start({ address, seeds: [address], disk: disk.reopened(), tolerance: 0 })
    await until('the log to be known', () => knowsLog(second))
    expect(second.get('leases').get('i-1')).toBeUndefined()
  })

  it('restores the file of a build that stored no index of the log', async () => {
    const disk = new MemoryDisk()
    await writeChecked(disk, 'leases', JSON.stringify([lease]))
    const control = await startOn(disk)
    expect(control.get('leases').get('i-1')?.state).toBe('ready')
    await until('the log to be known', () => knowsLog(control))
    expect(control.get('leases').get('i-1')?.state).toBe('ready')
  })

  it('repeats a write after the disk has failed', async () => {
    const disk = new MemoryDisk()
    const control = await startOn(disk)
    const replace = disk.replace.bind(disk)
    let failedWrites = 0
    disk.replace = async (name, data) => {
      if (name === 'leases' && failedWrites === 0) {
        failedWrites += 1
        throw new Error('no space left')
      }
      await replace(name, data)
    }
    await control.get('registrar').receiveHeartbeat(lease)
    await until('they are written', async () => (await readChecked(disk, 'leases'))?.includes('i-1') === true)
    expect(failedWrites).toBe(1)
  })

  it('starts without endpoints if the file is damaged or has unexpected content', async () => {
    const disk = new MemoryDisk()
    await writeChecked(disk, 'leases', '{"no":"leases"}')
    const control = await startOn(disk)
    expect(control.get('leases').all()).toEqual([])
    await stop(control)
    const damaged = new MemoryDisk()
    await damaged.replace('leases', Buffer.from('not even a checksum'))
    expect((await startOn(damaged)).get('leases').all()).toEqual([])
  })
})
