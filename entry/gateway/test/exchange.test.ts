import { afterEach, describe, expect, it, vi } from 'vitest'
import { type Dispatcher } from 'undici'
import { Exchange } from '../src/exchange.ts'

const CONNECT_MS = 350

/** Begins an exchange over a connection that a test makes. */
function begin () {
  let handler: Dispatcher.DispatchHandler | undefined
  const dispatcher = { dispatch: (_options: unknown, its: Dispatcher.DispatchHandler) => { handler = its } } as unknown as Dispatcher
  const exchange = new Exchange(dispatcher, 'http://10.0.0.1:80', {
    method: 'GET', path: '/', headers: [], body: undefined, connectMs: CONNECT_MS, findRefusalReason: () => undefined, wasClosedCleanly: async () => true
  }, { onInterim: () => {}, onHead: () => true, onData: () => {} })
  const abort = vi.fn()
  return { exchange, abort, connected: () => handler?.onRequestStart?.({ abort } as unknown as Dispatcher.DispatchController, {}) }
}

afterEach(() => { vi.restoreAllMocks() })

describe('an exchange', () => {
  it('is sent once its connection is made in time', () => {
    const { exchange, abort, connected } = begin()
    connected()
    expect(exchange.isSent).toBe(true)
    expect(abort).not.toHaveBeenCalled()
    exchange.cancel()
  })

  it('is never sent over a connection that a process which was frozen finds too late', async () => {
    const { exchange, abort, connected } = begin()
    const later = performance.now() + CONNECT_MS + 1
    // The clock has gone on, but no timer has run.
    vi.spyOn(performance, 'now').mockReturnValue(later)
    connected()
    expect(exchange.isSent).toBe(false)
    expect(abort).toHaveBeenCalledOnce()
    expect(await exchange.outcome).toEqual({ type: 'unsent', reason: 'the connection was made too late' })
  })
})
