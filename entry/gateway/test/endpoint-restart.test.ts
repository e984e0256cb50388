/** An engine that restarts under the same name: the state of its previous incarnation does not apply to the new one. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { request } from 'undici'
import { lifeOf } from '@gullwall/control.registry'
import { until } from '@gullwall/bench.deployment'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const stub = new StubEndpoint('e', 'app')
const deployment = new GatewayDeployment([stub])
const PROMPT = { 'x-gullwall-prompt-parts': 'shared:20000,own:10' }

async function report (born: number, sequence: number, state: 'ready' | 'draining' | 'gone' = 'ready'): Promise<void> {
  const { service, address, dataCentre } = stub
  await deployment.control.get('registrar').receiveHeartbeat({ ...lifeOf('e', born), service, address, dataCentre, slots: 4, state, sequence, ageMs: 0 })
}

async function send (id: string): Promise<void> {
  const reply = await request(deployment.url('/open/1'), {
    headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...PROMPT }
  })
  await reply.body.dump()
  expect(reply.statusCode).toBe(200)
}

const view = () => deployment.gateway.get('view')
const unreadOf = (id: string) => Number(deployment.logRecordsOf(id)[0]?.['unreadTokens'])

beforeAll(async () => {
  await deployment.start()
  await report(1000, 40)
  await until('the first incarnation', () => view().usable('app').length === 1)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

it('has no cached prompts after a restart, and requests are addressed to its name', async () => {
  await send('first')
  await send('kept')
  expect([unreadOf('first') > 0, unreadOf('kept') < unreadOf('first')]).toEqual([true, true])
  await report(2000, 1)
  await until('the second incarnation', () => view().usable('app')[0]?.description.incarnation === 'e@2000')
  await report(1000, 41, 'gone')
  await send('restarted')
  expect(unreadOf('restarted')).toBe(unreadOf('first'))
  await until('the first incarnation to be removed', () => view().get('e@1000') === undefined)
  expect(view().endpointCount).toBe(1)
  expect(new Set(stub.headers.map((headers) => headers['x-gullwall-incarnation']))).toEqual(new Set(['e']))
})
