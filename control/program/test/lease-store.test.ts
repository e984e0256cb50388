import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { MemoryDisk, readChecked, writeChecked } from '@gullwall/control.storage'
import { running, start, stopAll, type Control } from './control-processes.ts'

const lease = { incarnation: 'i-1', service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0, sequence: 1 } as const

afterEach(stopAll)

async function startOn (disk: MemoryDisk): Promise<Control> {
  const [address = ''] = await freeAddresses(1)
  return await start({ address, seeds: [address], disk })
}

async function stop (control: Control): Promise<void> {
  await control.stop()
  running.clear()
}

describe('the endpoints that a control process knew', () => {
  it('are known again right after a restart, before any heartbeat, and those that left have left', async () => {
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

  it('are written again after the disk has refused', async () => {
    const disk = new MemoryDisk()
    const control = await startOn(disk)
    const replace = disk.replace.bind(disk)
    let refusals = 0
    disk.replace = async (name, data) => {
      if (name === 'leases' && refusals === 0) {
        refusals += 1
        throw new Error('no space left')
      }
      await replace(name, data)
    }
    await control.get('registrar').receiveHeartbeat(lease)
    await until('they are written', async () => (await readChecked(disk, 'leases'))?.includes('i-1') === true)
    expect(refusals).toBe(1)
  })

  it('are heard anew where the file is damaged or means nothing', async () => {
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
