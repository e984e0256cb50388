/** The command's way through the operators' HTTP interface. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { OperatorClient } from '@gullwall/cli.client'
import { start, stopAll } from '../../../control/program/test/control-processes.ts'
import { formatEvacuation } from '../src/commands/evacuate.ts'
import { findSurplusKeys } from '../src/commands/history.ts'

let client: OperatorClient

beforeAll(async () => {
  const [address = ''] = await freeAddresses(1)
  const control = await start({ address, seeds: [address], tolerance: 0, regions: { dc1: 'north', dc2: 'north' } })
  await until('a leader', () => control.get('quorum').role === 'leader')
  client = new OperatorClient({ control: [address], token: 'an-operator-token-for-loopback', operator: 'test' })
})
afterAll(async () => {
  await client.close()
  await stopAll()
})

it('a data centre is evacuated and taken back, and the status tells which are', async () => {
  expect(formatEvacuation('dc2', await client.evacuate('dc2', true))).toBe('dc2 is evacuated (order 1 of this data centre)')
  expect((await client.status()).evacuated).toEqual(['dc2'])
  expect(formatEvacuation('dc2', await client.evacuate('dc2', false))).toBe('dc2 is no longer evacuated (order 2 of this data centre)')
  expect((await client.status()).evacuated).toEqual([])
})

it('one that nobody knows is refused at once, with those that are known', async () => {
  await expect(client.evacuate('dc9', true)).rejects.toMatchObject({ code: 'ERR_GULLWALL_REFUSED', message: expect.stringContaining('dc9') })
})

it('a restore of records leaves evacuations as they are', () => {
  expect(findSurplusKeys(['class/a', 'class/b', 'evacuation/dc1', 'document/current'], [{ key: 'class/a' }])).toEqual(['class/b'])
})
