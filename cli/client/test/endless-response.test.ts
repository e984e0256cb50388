// Guards against an operator's command that takes all memory, since the answer of a process has no end.
import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { OperatorClient } from '../src/index.ts'

const PART = Buffer.alloc(1024 * 1024, 'x')
let server: Server
let client: OperatorClient
let writtenBytes = 0

beforeAll(async () => {
  server = createServer((_request, response) => {
    response.writeHead(200, { 'content-type': 'application/json' })
    const write = () => {
      if (response.destroyed) return
      writtenBytes += PART.length
      response.write(PART, write)
    }
    write()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  client = new OperatorClient({ control: [`127.0.0.1:${(server.address() as AddressInfo).port}`], token: 't', operator: 'test' })
})
afterAll(async () => {
  await client.close()
  server.closeAllConnections()
  server.close()
})

it('a command ends with an error once the answer is too large', async () => {
  await expect(client.history()).rejects.toMatchObject({ code: 'ERR_GULLWALL_NO_CONTROL' })
  // The client sends its request again for some seconds.
  expect(writtenBytes).toBeGreaterThan(0)
})
