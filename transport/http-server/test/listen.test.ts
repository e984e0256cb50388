import { createServer as createHttpServer, request, type Server } from 'node:http'
import { createServer, type AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { EARLY_LISTENERS, listenOn, type EarlyListener, type WaitingConnection } from '../src/index.ts'

const early = new Map<string, EarlyListener>()
const servers: Server[] = []

/** Opens an address as the loader of a bundle does. */
async function openEarly (): Promise<string> {
  const waiting: WaitingConnection[] = []
  const server = createServer({ allowHalfOpen: true, noDelay: true, pauseOnConnect: true }, (socket) => {
    waiting.push({ socket, acceptedAt: performance.now() })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  early.set(address, { server, waiting })
  return address
}

async function answerOf (address: string, path = ''): Promise<number | undefined> {
  return await new Promise((resolve, reject) => {
    request(`http://${address}/${path}`, { agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode)
    }).once('error', reject).end()
  })
}

function httpServer (): Server {
  const server = createHttpServer((_request, response) => { response.end() })
  servers.push(server)
  return server
}

describe('an address that was opened before the program was loaded', () => {
  Object.assign(globalThis, { [EARLY_LISTENERS]: early })
  afterEach(() => {
    early.clear()
    for (const server of servers.splice(0)) {
      server.closeAllConnections()
      server.close()
    }
  })

  it('serves what connected and asked before it was taken over, and what comes later', async () => {
    const address = await openEarly()
    const waiting = early.get(address)?.waiting ?? []
    const first = answerOf(address)
    while (waiting.length === 0) await new Promise((resolve) => setImmediate(resolve))
    const second = answerOf(address)
    await listenOn(httpServer(), address)
    expect(await Promise.all([first, second, answerOf(address)])).toEqual([200, 200, 200])
  })

  it('serves those who came last first', async () => {
    const address = await openEarly()
    const waiting = early.get(address)?.waiting ?? []
    const order: string[] = []
    const asked = []
    for (const name of ['first', 'second', 'third']) {
      const count = waiting.length
      asked.push(answerOf(address, name))
      while (waiting.length === count) await new Promise((resolve) => setImmediate(resolve))
    }
    const server = createHttpServer((incoming, response) => {
      order.push(incoming.url ?? '')
      response.end()
    })
    servers.push(server)
    await listenOn(server, address)
    await Promise.all(asked)
    expect(order).toEqual(['/third', '/second', '/first'])
  })

  it('closes what has waited so long that its caller has gone on, unread', async () => {
    const address = await openEarly()
    const waiting = early.get(address)?.waiting ?? []
    const asked = answerOf(address)
    while (waiting.length === 0) await new Promise((resolve) => setImmediate(resolve))
    for (const connection of waiting) connection.acceptedAt -= 2000
    await listenOn(httpServer(), address)
    await expect(asked).rejects.toThrow()
  })

  it('takes nothing more once the server that took it over has closed', async () => {
    const address = await openEarly()
    const server = httpServer()
    await listenOn(server, address)
    await new Promise<void>((resolve) => server.close(() => resolve()))
    await expect(answerOf(address)).rejects.toThrow('ECONNREFUSED')
  })

  it('is opened anew where it could not be opened early', async () => {
    const address = await openEarly()
    const held = early.get(address)?.server
    await new Promise<void>((resolve) => { held?.close(() => resolve()) })
    await listenOn(httpServer(), address)
    expect(await answerOf(address)).toBe(200)
  })

  it('is told with its cause where another process has it', async () => {
    const address = await openEarly()
    early.clear()
    await expect(listenOn(httpServer(), address)).rejects.toMatchObject({ code: 'ERR_GULLWALL_LISTEN', peer: address })
  })
})
