import { createServer, type AddressInfo } from 'node:net'
import { Pool, type Dispatcher } from 'undici'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { HttpEndpoint } from '@gullwall/endpoint.http'

type Handler = Dispatcher.DispatchHandler
interface Controller { abort: (reason: Error) => void }

/** Lets a stub handle what the HTTP client is given to send. */
function stubClient (handle: (handler: Handler, start: () => Controller) => void): void {
  vi.spyOn(Pool.prototype, 'dispatch').mockImplementation((_options, handler) => {
    const start = () => {
      const controller = { abort: vi.fn((reason: Error) => handler.onResponseError?.(controller as never, reason)) }
      handler.onRequestStart?.(controller as never, {})
      return controller
    }
    handle(handler, start)
    return true
  })
}

function errorWithCode (code: string): Error {
  return Object.assign(new Error(code), { code })
}

/** Runs a request and returns the code of the error. */
async function run (address = '127.0.0.1:1', signal = new AbortController().signal): Promise<string> {
  const endpoint = new HttpEndpoint('stub', address)
  try {
    await endpoint.run({ method: 'POST', path: '/', headers: {}, body: Buffer.from('{}'), signal }, { onHead: () => {}, onData: () => undefined })
    return 'complete'
  } catch (error) {
    return String((error as { code: unknown }).code)
  } finally {
    await endpoint.close()
  }
}

describe('a request that is aborted while its connection is made', () => {
  afterEach(() => vi.restoreAllMocks())

  // It stayed unsettled until the connection was made.
  it('is unsent at once, and is not written later', async () => {
    let startLater: (() => Controller) | undefined
    stubClient((_handler, start) => { startLater = start })
    const caller = new AbortController()
    const outcome = run('127.0.0.1:1', caller.signal)
    caller.abort()
    expect(await outcome).toBe('ERR_GULLWALL_UNSENT')
    expect(startLater?.().abort).toHaveBeenCalledOnce()
  })
})

describe('a request that is aborted before it is sent', () => {
  afterEach(() => vi.restoreAllMocks())

  // It waited for a connection, up to the timeout of the connect.
  it('is unsent at once, and takes no connection', async () => {
    const dispatch = vi.spyOn(Pool.prototype, 'dispatch').mockReturnValue(true)
    const caller = new AbortController()
    caller.abort()
    expect(await run('127.0.0.1:1', caller.signal)).toBe('ERR_GULLWALL_UNSENT')
    expect(dispatch).not.toHaveBeenCalled()
  }, 5000)
})

describe('a request that was written', () => {
  afterEach(() => vi.restoreAllMocks())

  // The HTTP client may put it back into its queue, and then fail to connect again.
  it.each(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH'])('does not count as unsent after %s of a later connection', async (code) => {
    stubClient((handler, start) => {
      const controller = start()
      handler.onResponseError?.(controller as never, errorWithCode(code))
    })
    expect(await run()).toBe('ERR_GULLWALL_ENDPOINT_FAILED')
  })

  it('is not sent again by the HTTP client', async () => {
    const aborted: boolean[] = []
    stubClient((_handler, start) => {
      for (const controller of [start(), start()]) aborted.push(vi.mocked(controller.abort).mock.calls.length > 0)
    })
    expect(await run()).toBe('ERR_GULLWALL_ENDPOINT_FAILED')
    expect(aborted).toEqual([false, true])
  })
})

describe('a request of which no byte was written', () => {
  afterEach(() => vi.restoreAllMocks())

  it('counts as unsent, whatever the error', async () => {
    for (const [code, expected] of [['ECONNREFUSED', 'ERR_GULLWALL_ENDPOINT_REFUSED'], ['ECONNRESET', 'ERR_GULLWALL_UNSENT']] as const) {
      stubClient((handler) => { handler.onResponseError?.(undefined as never, errorWithCode(code)) })
      expect(await run()).toBe(expected)
    }
  })

  it('is not written once it was aborted', async () => {
    const abort = new AbortController()
    abort.abort(new Error('no longer wanted'))
    let received = 0
    const server = createServer((socket) => { socket.on('data', (chunk) => { received += chunk.length }).on('error', () => {}) })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    expect(await run(`127.0.0.1:${(server.address() as AddressInfo).port}`, abort.signal)).toBe('ERR_GULLWALL_UNSENT')
    await new Promise<void>((resolve) => server.close(() => resolve()))
    expect(received).toBe(0)
  })
})

describe('an endpoint that sends interim responses without end', () => {
  it('has broken off, and its connection is closed', async () => {
    let closed: () => void
    const isClosed = new Promise<void>((resolve) => { closed = resolve })
    const server = createServer((socket) => {
      const send = () => { if (socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(50)) && !socket.destroyed) setImmediate(send) }
      socket.once('data', send).on('drain', send).on('error', () => {}).on('close', () => closed())
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    expect(await run(`127.0.0.1:${(server.address() as AddressInfo).port}`)).toBe('ERR_GULLWALL_ENDLESS_RESPONSE')
    await isClosed
    server.close()
  })
})

describe('a response to a report or a probe', () => {
  const heads = { 'a body': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', 'interim responses': '' }
  const repeated = { 'a body': '4\r\n    \r\n', 'interim responses': 'HTTP/1.1 102 Processing\r\n\r\n' }
  const places = { 'a body': 'body', 'interim responses': 'interim' }
  for (const name of ['a body', 'interim responses'] as const) {
    // The process kept such a body until it had no memory left.
    it(`with ${name} without end fails, and its connection is closed`, async () => {
      let closed: () => void
      const isClosed = new Promise<void>((resolve) => { closed = resolve })
      const server = createServer((socket) => {
        socket.write(heads[name])
        const send = () => { if (!socket.destroyed && socket.write(repeated[name].repeat(1000))) setImmediate(send) }
        socket.once('data', send).on('drain', send).on('error', () => {}).on('close', () => closed())
      })
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
      const endpoint = new HttpEndpoint('stub', `127.0.0.1:${(server.address() as AddressInfo).port}`)
      await expect(endpoint.getJson('/load')).rejects.toMatchObject({ code: 'ERR_GULLWALL_ENDLESS_RESPONSE', place: places[name] })
      await isClosed
      await endpoint.close()
      server.close()
    })
  }

  it('is read whole, and a response to HEAD needs no length', async () => {
    const server = createServer((socket) => {
      socket.on('data', (chunk) => {
        const isHead = chunk.toString().startsWith('HEAD')
        socket.write(isHead ? 'HTTP/1.1 200 OK\r\n\r\n' : 'HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{"in_flight":3}')
      }).on('error', () => {})
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const endpoint = new HttpEndpoint('stub', `127.0.0.1:${(server.address() as AddressInfo).port}`)
    expect(await endpoint.getJson('/load')).toEqual({ in_flight: 3 })
    await endpoint.probe()
    await endpoint.close()
    server.close()
  })
})
