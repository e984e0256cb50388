import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { type FencedOrder, type ScalingSink } from '@gullwall/control.program'
import { running, start, stopAll, type Control } from './control-processes.ts'

const LONG_MS = 20_000
const SETTINGS = { address: '127.0.0.1:1', duties: [], callsPerSecond: 10, leaseMs: 300 }
const document = (scaling: object | undefined) => JSON.stringify({
  version: 1, routes: [], services: [{ name: 'lm', healthPath: '/healthz', maxConnections: 20, scaling }], organisations: [], limits: {}
})

class FakeSink implements ScalingSink {
  readonly orders: FencedOrder[] = []

  async order (order: FencedOrder): Promise<{ type: 'delivered' }> {
    this.orders.push(order)
    return { type: 'delivered' }
  }
}

async function startThree (sink: FakeSink, scaling: object | undefined): Promise<Control[]> {
  const seeds = await freeAddresses(3)
  for (const address of seeds) await start({ address, seeds, tolerance: 1, scaling: SETTINGS, scalingSink: sink })
  const controls = [...running.values()]
  for (const control of controls) {
    control.get('leases').merge([{
      incarnation: 'lm-1', service: 'lm', address: '127.0.0.1:9', dataCentre: 'dc1', slots: 8, state: 'ready', sequence: 1, ageMs: 0
    }])
  }
  await until('a quorum', () => controls.some(leads) && controls.every((control) => control.get('quorum').status().voters.length === 3), LONG_MS)
  await until('the document', async () => {
    const put = controls.find(leads)?.get('documents').put(document(scaling))
    return (await put?.catch(() => undefined))?.isRight() === true
  }, LONG_MS)
  return controls
}

function leads (control: Control): boolean {
  return control.get('quorum').role === 'leader'
}

describe('control processes that order endpoints', () => {
  afterEach(stopAll)

  it('order the least that a service may have, once, and again from a new leader under a higher token', async () => {
    const sink = new FakeSink()
    const controls = await startThree(sink, { min: 3, max: 5, bootMs: 1000 })
    await until('an order', () => sink.orders.length > 0, LONG_MS)
    const first = controls.find(leads) as Control
    expect(sink.orders).toEqual([expect.objectContaining({ service: 'lm', dataCentre: 'dc1', desired: 3, holder: first.get('settings').box })])
    running.forEach((control, address) => { if (control === first) running.delete(address) })
    await first.stop()
    await until('the order again', () => sink.orders.length > 1, LONG_MS)
    const [before, after] = sink.orders
    expect(after?.desired).toBe(3)
    expect(after?.token).toBeGreaterThan(before?.token ?? 0)
    expect(after?.holder).not.toBe(before?.holder)
  }, 3 * LONG_MS)

  it('order nothing for services that name no scaling', async () => {
    const sink = new FakeSink()
    const controls = await startThree(sink, undefined)
    for (const control of controls) await control.get('scalingController').runOnce()
    expect(sink.orders).toEqual([])
    expect(controls.find(leads)?.get('state').scalingOrders.dump()).toEqual([])
  }, 3 * LONG_MS)
})
