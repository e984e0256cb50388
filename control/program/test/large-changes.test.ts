/** Guards against a change that is too large for the links: it was sent to other processes for ever and never acknowledged. */
import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { running, start, stopAll, type Control } from './control-processes.ts'

const MIB = 1024 * 1024
/** All processes share one event loop here, which a large document holds for a while, in ms. */
const ELECTION_MS = 1500

afterEach(stopAll)

async function startThree (): Promise<Control[]> {
  const addresses = await freeAddresses(3)
  await Promise.all(addresses.map(async (address) => await start({ address, seeds: addresses, tolerance: 1, electionMs: ELECTION_MS })))
  const controls = [...running.values()]
  await until('three voters', () => controls.every((control) => control.get('quorum').status().voters.length === 3))
  return controls
}

function documentOf (version: number, bytes: number): string {
  return JSON.stringify({ version, routes: [], services: [], organisations: [{ name: 'o'.repeat(bytes), keys: ['k'] }], limits: {} })
}

describe('a routing document', () => {
  it('that is too large for the links is refused at once by each process, with the limit, and the next one is taken', async () => {
    const controls = await startThree()
    for (const control of controls) {
      const put = control.get('documents').put(documentOf(1, 4.5 * MIB))
      await expect(put).rejects.toMatchObject({ code: 'ERR_GULLWALL_TOO_LARGE', message: expect.stringContaining('at most 4128768') as string })
    }
    await controls[0]?.get('documents').put(documentOf(2, 10))
    for (const control of controls) await until('version 2', async () => (await control.get('documents').read())?.version === 2)
  })

  it('of 3.8 MiB is taken and reaches all processes', async () => {
    const controls = await startThree()
    await controls[0]?.get('documents').put(documentOf(1, 3.8 * MIB))
    for (const control of controls) await until('version 1', async () => (await control.get('documents').read())?.version === 1)
  })
})
