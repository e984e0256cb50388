import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { type EndpointDescription } from '@gullwall/routing.balancer'
import { type Dispatcher } from 'undici'
import { Connections } from '../src/connections.ts'

const MAX_CONNECTIONS = 20
const REQUESTS = 30
let server: Server
let endpoint: EndpointDescription
let connections: Connections
/** Answers the requests that wait. */
let answers: Array<() => void>
let openConnections: number
let mostConnections: number

beforeEach(async () => {
  answers = []
  openConnections = 0
  mostConnections = 0
  server = createServer((_request, response) => { answers.push(() => { response.end('done') }) })
  server.on('connection', (socket) => {
    openConnections += 1
    mostConnections = Math.max(mostConnections, openConnections)
    socket.on('close', () => { openConnections -= 1 })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  endpoint = { incarnation: 'i-1', service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, dataCentre: 'east', slots: 4 }
  connections = new Connections()
})
afterEach(async () => {
  await connections.stop()
  server.closeAllConnections()
  server.close()
})

const dispatcherAmong = (entries: number) => connections.dispatcherFor(endpoint, MAX_CONNECTIONS, entries)
const request = async (dispatcher: Dispatcher) => await dispatcher.request({ origin: `http://${endpoint.address}`, path: '/', method: 'GET' })

describe('the connections to an endpoint', () => {
  it('stay within its maximum after a start at which too few entries were known', async () => {
    const first = request(dispatcherAmong(1))
    await until('the first request', () => answers.length === 1)
    const later = Array.from({ length: REQUESTS }, async () => await (await request(dispatcherAmong(5))).body.text())
    let answered = 1
    await until('all later requests to be answered', async () => {
      for (; answered < answers.length; answered += 1) answers[answered]?.()
      return answered === REQUESTS + 1
    })
    await Promise.all(later)
    // One connection belongs to the first request.
    expect(5 * (mostConnections - 1)).toBeLessThanOrEqual(MAX_CONNECTIONS)
    answers[0]?.()
    await (await first).body.dump()
  })

  it('are kept while the number of entries changes little or falls', () => {
    const dispatcher = dispatcherAmong(4)
    expect(dispatcherAmong(5)).toBe(dispatcher)
    expect(dispatcherAmong(3)).toBe(dispatcher)
    expect(dispatcherAmong(7)).not.toBe(dispatcher)
  })

  it('are replaced without interrupting a request', async () => {
    const response = request(dispatcherAmong(1))
    await until('the request', () => answers.length === 1)
    dispatcherAmong(5)
    answers[0]?.()
    expect(await (await response).body.text()).toBe('done')
  })

  it('report no time to connect if they are refused', async () => {
    const connected: number[] = []
    const refused = new Connections({ onConnected: (_dataCentre, tookMs) => connected.push(tookMs), onUnsolicited: () => {} })
    await new Promise((resolve) => server.close(resolve))
    await expect(request(refused.dispatcherFor(endpoint, MAX_CONNECTIONS, 1))).rejects.toMatchObject({ code: 'ECONNREFUSED' })
    expect(connected).toEqual([])
    await refused.stop()
  })
})
