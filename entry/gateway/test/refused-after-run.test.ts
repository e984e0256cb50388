/** Guards against a request that ran, whose caller was told by the endpoint's own status that it had not run (REFUSED, TWICE). */
import { afterAll, beforeAll, beforeEach, expect, it } from 'vitest'
import { request } from 'undici'
import { GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

/** Statuses that tell a caller that its request has not run and never will. */
const NOT_RUN_STATUSES = [408, 429, 503, 421]
const PATHS_THAT_RUN_ONCE = ['/order/1', '/scan/1']
/** Enough requests for an endpoint to be given up, if its status were taken for the end of its incarnation. */
const REQUESTS_PER_CASE = 3

let statusAfterRun = 503
const runs = new Map<string, number>()

const runAndFail: Behaviour = (incoming, response) => {
  const id = String(incoming.headers['x-gullwall-request-id'])
  runs.set(id, (runs.get(id) ?? 0) + 1)
  response.writeHead(statusAfterRun, { 'x-gullwall-request-id': id }).end('failed')
}

const endpoints = ['i-1', 'i-2', 'i-3'].map((incarnation) => new StubEndpoint(incarnation, 'app', runAndFail))
const deployment = new GatewayDeployment(endpoints, undefined, { retryRatio: 1, retryWindowMs: 1000, retrySlack: 5000 })
let ids = 0

beforeAll(async () => {
  await deployment.start()
  for (const endpoint of endpoints) await deployment.register(endpoint)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
})
beforeEach(() => runs.clear())
afterAll(async () => await deployment.stop())

async function send (path: string): Promise<{ id: string, status: number }> {
  const id = `request-${++ids}`
  const reply = await request(deployment.url(path), { method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body: 'x' })
  await reply.body.dump()
  return { id, status: reply.statusCode }
}

it('a request that ran and was answered 408, 421, 429 or 503 is not promised to have not run, and runs once', async () => {
  const broken: string[] = []
  for (const status of NOT_RUN_STATUSES) {
    for (const path of PATHS_THAT_RUN_ONCE) {
      statusAfterRun = status
      for (let sent = 0; sent < REQUESTS_PER_CASE; sent += 1) {
        const reply = await send(path)
        const ran = runs.get(reply.id) ?? 0
        if (ran > 0 && NOT_RUN_STATUSES.includes(reply.status)) broken.push(`REFUSED: ${path} ran, the endpoint answered ${status}, the caller got ${reply.status}`)
        if (ran > 1) broken.push(`TWICE: ${path} ran ${ran} times, the endpoints answered ${status}`)
      }
    }
  }
  const { view } = deployment.gateway.services
  for (const { incarnation } of endpoints) if (!view.acceptsRequests(incarnation)) broken.push(`${incarnation} counts as ended although it answers`)
  expect(broken).toEqual([])
})
