import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { createDocument, answerOk, GatewayDeployment, StubEndpoint, type Behaviour, type RegionLists } from './gateway-deployment.ts'

const north = new StubEndpoint('i-north', 'app', answerOk, 'dc1')
const south = new StubEndpoint('i-south', 'app', answerOk, 'dc2')
const unnamed = new StubEndpoint('i-unnamed', 'app', answerOk, 'dc9')
const all = [north, south, unnamed]
const deployment = new GatewayDeployment(all)
let ids = 0
let version = 1

async function call (path: string): Promise<{ id: string, status: number, text: string }> {
  const id = `request-${++ids}`
  const reply = await request(deployment.url(path), { headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id } })
  return { id, status: reply.statusCode, text: await reply.body.text() }
}

function whereRan (id: string): string[] {
  return all.filter(({ requestIds }) => requestIds.includes(id)).map(({ incarnation }) => incarnation)
}

async function limit (limits: RegionLists): Promise<void> {
  version += 1
  await deployment.configure(version, limits)
}

const closeConnection: Behaviour = (_request, response) => response.destroy()

beforeAll(async () => {
  await deployment.start()
  for (const stub of all) await deployment.register(stub)
  await deployment.awaitRegionLink()
})
afterAll(async () => await deployment.stop())
beforeEach(() => { for (const stub of all) stub.behaviour = answerOk })

describe('a request with allowed regions', () => {
  it.each<[string, RegionLists]>([
    ['by its route', { routes: ['south'] }],
    ['by its organisation', { organisation: ['south', 'west'] }],
    ['by both', { routes: ['north', 'south'], organisation: ['south', 'west'] }]
  ])('stays in the regions that are set %s', async (_by, limits) => {
    await limit(limits)
    for (let count = 0; count < 10; count += 1) {
      const { id, status } = await call('/look-up/1')
      expect([status, whereRan(id)]).toEqual([200, ['i-south']])
    }
  })

  it('is not sent to another region after a failure', async () => {
    await limit({ routes: ['south'] })
    south.behaviour = closeConnection
    const { id, status } = await call('/look-up/1')
    expect([status, whereRan(id)]).toEqual([502, ['i-south']])
  })

  it.each<[string, RegionLists]>([
    ['no endpoint is in its region', { routes: ['west'] }],
    ['its route and its organisation have no region in common', { routes: ['north'], organisation: ['south'] }]
  ])('is refused without being run if %s', async (_why, limits) => {
    await limit(limits)
    const { id, status, text } = await call('/order/1')
    expect([status, whereRan(id)]).toEqual([503, []])
    expect(JSON.parse(text)).toMatchObject({ error: { code: 'ERR_GULLWALL_REFUSED', ran: 'no', message: expect.stringContaining('no eligible endpoint') } })
  })

  it('on a public route stays in the regions of the organisation whose key it sends', async () => {
    await limit({ organisation: ['south'] })
    for (let count = 0; count < 10; count += 1) expect(whereRan((await call('/open/1')).id)).toEqual(['i-south'])
  })

  it('is sent to any region once a document removes the limit', async () => {
    await limit({ routes: ['west'] })
    expect((await call('/look-up/1')).status).toBe(503)
    await limit({ routes: [] })
    expect((await call('/look-up/1')).status).toBe(200)
  })
})

it('a document with an unknown region is rejected with the name of the region', async () => {
  const documents = deployment.control.get('documents')
  const refused = await documents.put(JSON.stringify(createDocument(1000, { routes: ['south', 'atlantis'] })))
  expect(JSON.stringify(refused.swap().orDefault([]))).toMatch(/routes.look-up.allowedRegions.*atlantis.*north, south, west/)
  const organisations = await documents.put(JSON.stringify(createDocument(1000, { organisation: ['mu'] })))
  expect(organisations.swap().orDefault([])).toMatchObject([{ keyPath: 'organisations.workshop.allowedRegions', found: 'the unknown region mu' }])
})
