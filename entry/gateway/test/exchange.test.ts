import { afterEach, describe, expect, it, vi } from 'vitest'
import { type Dispatcher } from 'undici'
import { Exchange } from '../src/exchange.ts'

const CONNECT_MS = 350

/** Starts an exchange; `connect` reports to the exchange that its connection is established. */
function startExchange () {
  let handler: Dispatcher.DispatchHandler | undefined
  const onSending = vi.fn()
  const dispatcher = { dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => { handler = given } } as unknown as Dispatcher
  const exchange = new Exchange(dispatcher, 'http://10.0.0.1:80', {
    method: 'GET', path: '/', headers: [], body: undefined, connectMs: CONNECT_MS, findRefusalReason: () => undefined, onSending, wasClosedCleanly: async () => true
  }, { onInterim: () => {}, onHead: () => 'read', onEndless: () => {}, onData: () => {} })
  const abort = vi.fn()
  return { exchange, abort, onSending, connect: () => handler?.onRequestStart?.({ abort } as unknown as Dispatcher.DispatchController, {}) }
}

afterEach(() => { vi.restoreAllMocks() })

describe('an exchange', () => {
  it('is sent if its connection is established in time', () => {
    const { exchange, abort, connect } = startExchange()
    connect()
    expect(exchange.isSent).toBe(true)
    expect(abort).not.toHaveBeenCalled()
    exchange.cancel()
  })

  it('is not sent if a suspended process handles its connection after the timeout', async () => {
    const { exchange, abort, connect } = startExchange()
    const later = performance.now() + CONNECT_MS + 1
    // The clock has advanced, but no timer has run.
    vi.spyOn(performance, 'now').mockReturnValue(later)
    connect()
    expect(exchange.isSent).toBe(false)
    expect(abort).toHaveBeenCalledOnce()
    expect(await exchange.outcome).toEqual({ type: 'unsent', reason: 'the connection was established too late' })
  })

  it('is not sent a second time if the HTTP client writes it again on another connection', async () => {
    const { exchange, abort, onSending, connect } = startExchange()
    connect()
    connect()
    expect(onSending).toHaveBeenCalledOnce()
    expect(abort).toHaveBeenCalled()
    expect(await exchange.outcome).toMatchObject({ type: 'broken', isClosed: false })
  })
})
