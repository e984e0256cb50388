/** The commands' way through the operators' HTTP interface. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { OperatorClient } from '@gullwall/cli.client'
import { changeToHold } from '@gullwall/control.state'
import { start, stopAll } from '../../../control/program/test/control-processes.ts'
import { formatQuarantine } from '../src/commands/quarantine.ts'

let client: OperatorClient
let control: Awaited<ReturnType<typeof start>>

beforeAll(async () => {
  const [address = ''] = await freeAddresses(1)
  control = await start({ address, seeds: [address], tolerance: 0 })
  await until('a leader', () => control.get('quorum').role === 'leader')
  client = new OperatorClient({ control: [address], token: 'an-operator-token-for-loopback', operator: 'test' })
})
afterAll(async () => {
  await client.close()
  await stopAll()
})

it('quarantined parts and requests are listed with the names by which they are released', async () => {
  expect(formatQuarantine(await client.quarantine())).toBe('nothing is quarantined')
  const part = { part: 'assistant/5c1e07a2', organisation: 'north & west', crashes: 5, failedProbes: 1 }
  await control.get('proposer').applyOperation({
    type: 'apply', operationId: 'o', expectedRevision: null, changes: [changeToHold(part)], operator: 'test', at: ''
  })
  for (const endpoint of ['i-1', 'i-2', 'i-3']) {
    await control.get('proposer').applyQuarantineCommand({ type: 'note-crashes', crashes: [{ endpoint, requests: ['f'] }], ranWell: [] })
  }
  await control.get('proposer').applyQuarantineCommand({ type: 'judge-crashes' })
  expect(formatQuarantine(await client.quarantine())).toBe([
    'part assistant/5c1e07a2/north%20%26%20west: for organisation north & west, 5 crashes, 1 failed probes', 'request f'
  ].join('\n'))
  await client.releaseFromQuarantine('assistant/5c1e07a2/north%20%26%20west')
  await client.releaseFromQuarantine('f')
  expect(formatQuarantine(await client.quarantine())).toBe('nothing is quarantined')
})

it('what is not quarantined is refused with a hint', async () => {
  await expect(client.releaseFromQuarantine('assistant/other')).rejects.toMatchObject({ message: expect.stringContaining('not quarantined') as string })
})
