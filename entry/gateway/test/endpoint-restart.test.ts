/** An engine that starts again under its name: what was known of the life before is not believed of the new one. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { request } from 'undici'
import { lifeOf } from '@gullwall/control.registry'
import { until } from '@gullwall/bench.deployment'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const standIn = new StubEndpoint('e', 'app')
const deployment = new GatewayDeployment([standIn])
const PROMPT = { 'x-gullwall-prompt-parts': 'shared:20000,own:10' }

async function hear (born: number, sequence: number, state: 'ready' | 'draining' | 'gone' = 'ready'): Promise<void> {
  const { service, address, dataCentre } = standIn
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
  await hear(1000, 40)
  await until('the first life', () => view().usable('app').length === 1)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

it('has a prompt to read anew that the life before kept, and is asked for by its name', async () => {
  await send('first')
  await send('kept')
  expect([unreadOf('first') > 0, unreadOf('kept') < unreadOf('first')]).toEqual([true, true])
  await hear(2000, 1)
  await until('the second life', () => view().usable('app')[0]?.description.incarnation === 'e@2000')
  await hear(1000, 41, 'gone')
  await send('anew')
  expect(unreadOf('anew')).toBe(unreadOf('first'))
  await until('the first life is forgotten', () => view().get('e@1000') === undefined)
  expect(view().endpointCount).toBe(1)
  expect(new Set(standIn.headers.map((headers) => headers['x-gullwall-incarnation']))).toEqual(new Set(['e']))
})
