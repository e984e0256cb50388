// Guards against an operator's command that fails while control elects another leader.
import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { OperatorClient } from '../src/index.ts'

const ELECTION_MS = 2000
let server: Server
let client: OperatorClient

beforeAll(async () => {
  const startedAt = performance.now()
  server = createServer((_request, response) => {
    const hasLeader = performance.now() - startedAt > ELECTION_MS
    response.writeHead(hasLeader ? 200 : 503, { 'content-type': 'application/json' })
    response.end(JSON.stringify(hasLeader ? { revision: 7, records: {} } : { code: 'ERR_GULLWALL_LINK_CLOSED', message: 'no link to the peer' }))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  client = new OperatorClient({ control: [`127.0.0.1:${(server.address() as AddressInfo).port}`], token: 't', operator: 'test' })
})
afterAll(async () => {
  await client.close()
  server.close()
})

it('a command waits for another leader', async () => {
  expect((await client.records()).revision).toBe(7)
})
