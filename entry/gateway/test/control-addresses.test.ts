import { describe, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { ControlAddresses } from '../src/control-addresses.ts'
import { GatewayDeployment } from './gateway-deployment.ts'

const LONG_MS = 31_000

describe('the address of a control process', () => {
  it('is forgotten once it is a seed no more, nobody names it and it is not linked', () => {
    const addresses = new ControlAddresses()
    addresses.setSeeds(['old', 'kept'], 0)
    addresses.recordAnnounced(['named', 'linked'], 0)
    expect(addresses.removeExpired([], LONG_MS - 1001)).toEqual([])
    addresses.setSeeds(['kept'], LONG_MS - 1000)
    addresses.recordAnnounced(['named'], LONG_MS - 1000)
    expect(addresses.removeExpired(['linked'], LONG_MS)).toEqual(['old'])
    expect(addresses.removeExpired([], LONG_MS)).toEqual([])
    expect(addresses.removeExpired([], 3 * LONG_MS).sort()).toEqual(['linked', 'named'])
  })

  it('is dialled no more by a gateway then, and counts no more among those that should be linked', async () => {
    const deployment = new GatewayDeployment([])
    await deployment.start()
    try {
      const links = deployment.gateway.get('controlLinks')
      const { seeds } = deployment.gateway.get('settings')
      links.dialSeeds({ seeds: [...seeds, '127.0.0.1:1'], linkPort: undefined })
      links.dialSeeds({ seeds, linkPort: undefined })
      expect(links.dialledAddresses).toEqual([...seeds, '127.0.0.1:1'])
      await until('a link', () => links.openCount === 1)
      links.removeExpiredControls(performance.now() + LONG_MS)
      expect(links.dialledAddresses).toEqual(seeds)
      expect(links.openCount).toBe(1)
    } finally {
      await deployment.stop()
    }
  })
})
