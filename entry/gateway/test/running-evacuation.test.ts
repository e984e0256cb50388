/** Guards against a second run, or a promise, for a request that runs in a data centre while it is evacuated. */
import { afterAll, afterEach, beforeAll, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { type OrderCaller } from '@gullwall/control.program'
import { createDocument } from './gateway-deployment.ts'
import { HeldEndpoints, NOT_RUN, respond, type HeldRequest } from './held-endpoints.ts'

const endpoints = new HeldEndpoints(['dc1', 'dc2'])
const caller: OrderCaller = { isDisconnected: false, detectDisconnect: async () => false }

beforeAll(async () => await endpoints.start(createDocument))
afterAll(async () => await endpoints.stop())
afterEach(async () => {
  for (const dataCentre of ['dc1', 'dc2']) await order(dataCentre, false)
  endpoints.held.length = 0
})

async function order (dataCentre: string, isEvacuated: boolean): Promise<void> {
  await endpoints.deployment.control.get('evacuations').order({ dataCentre, isEvacuated, caller })
  const evacuated = endpoints.deployment.gateway.get('evacuatedDataCentres')
  await until('the order to be applied', () => evacuated.isEvacuated(dataCentre) === isEvacuated)
}

/** Sends a request, and evacuates the data centre in which it runs. */
async function sendAndEvacuate (path: string): Promise<{ reply: ReturnType<HeldEndpoints['send']>, running: HeldRequest }> {
  const reply = endpoints.send(path)
  await until('an endpoint', () => endpoints.held.length === 1)
  const [running] = endpoints.held
  if (running === undefined) throw new Error('no arrival')
  await order(running.endpoint.dataCentre, true)
  return { reply, running }
}

it.each(['/order/1', '/look-up/1'])('%s that succeeds is answered, after one run', async (path) => {
  const { reply, running } = await sendAndEvacuate(path)
  respond(running, 200, { body: 'ran' })
  expect(await reply).toMatchObject({ status: 200, text: 'ran' })
  expect(endpoints.held).toHaveLength(1)
})

it.each([408, 421, 429, 503])('a request that may run once and is answered %i without proof runs nowhere else', async (status) => {
  const { reply, running } = await sendAndEvacuate('/order/2')
  respond(running, status)
  expect(await reply).toMatchObject({ status: 502 })
  expect(endpoints.held).toHaveLength(1)
})

it('a request that may run once, and that its endpoint has not run, goes on in the other data centre', async () => {
  const { reply, running } = await sendAndEvacuate('/order/3')
  respond(running, 503, { more: NOT_RUN })
  await until('the other data centre', () => endpoints.held.length === 2)
  const [, second] = endpoints.held
  if (second === undefined) throw new Error('no second arrival')
  expect(second.endpoint.dataCentre).not.toBe(running.endpoint.dataCentre)
  respond(second, 200)
  expect(await reply).toMatchObject({ status: 200 })
})

it('a request that no endpoint has run is refused if no data centre is left', async () => {
  const { reply, running } = await sendAndEvacuate('/order/4')
  for (const dataCentre of ['dc1', 'dc2']) await order(dataCentre, true)
  respond(running, 503, { more: NOT_RUN })
  expect(await reply).toMatchObject({ status: 503 })
  expect(endpoints.held).toHaveLength(1)
})
