import { describe, expect, it, vi } from 'vitest'
import { type Dispatcher } from 'undici'
import { RevisionStore } from '@gullwall/config.spread'
import { ControlState } from '@gullwall/control.state'
import { silentLogger } from '@gullwall/core.logger'
import { EvacuatedDataCentres } from '../src/evacuated-data-centres.ts'
import { Exchange } from '../src/exchange.ts'

/** Records as control decides them, at a store that is brought up to date when the test says so. */
class Source {
  readonly store = new RevisionStore({ logger: silentLogger() })
  readonly control = new ControlState()
  readonly withdrawn: string[] = []
  readonly wake = vi.fn()
  readonly places = new EvacuatedDataCentres({ store: this.store, logger: silentLogger(), view: { wake: this.wake } })

  constructor () {
    this.places.onWithdrawn((dataCentre) => this.withdrawn.push(dataCentre))
  }

  order (isEvacuated: boolean): void {
    this.control.apply(0, JSON.stringify({ type: 'evacuate', dataCentre: 'dc1', isEvacuated, seen: this.control.revision }))
  }

  spread (): void {
    this.store.replace(this.control.revision, [...this.control.records.entries()])
  }
}

describe('evacuated places', () => {
  it('are those of the records in force, and requests that wait look again', () => {
    const source = new Source()
    source.order(true)
    expect(source.places.evacuated).toEqual([])
    source.spread()
    expect(source.places.evacuated).toEqual(['dc1'])
    expect(source.places.rule('dc1', {} as never)).toBe('data centre dc1 is evacuated')
    expect(source.places.rule('dc2', {} as never)).toBeUndefined()
    expect(source.wake).toHaveBeenCalledTimes(1)
  })

  it('are told to be withdrawn once, also where the evacuation itself was missed', () => {
    const source = new Source()
    source.control.apply(0, JSON.stringify({ type: 'document', version: 1, text: '{}' }))
    source.spread()
    source.order(true)
    source.order(false)
    source.spread()
    expect(source.withdrawn).toEqual(['dc1'])
    source.order(false)
    source.spread()
    expect(source.withdrawn).toEqual(['dc1'])
    source.order(true)
    source.spread()
    source.order(false)
    source.order(true)
    source.spread()
    expect(source.places.evacuated).toEqual(['dc1'])
    expect(source.withdrawn).toEqual(['dc1', 'dc1'])
  })

  it('that were withdrawn before the process had any records are not told', () => {
    const source = new Source()
    source.order(true)
    source.order(false)
    source.spread()
    expect(source.withdrawn).toEqual([])
  })
})

describe('an attempt that waits for a connection', () => {
  it('is withheld if its data centre is evacuated meanwhile, and not a byte of it is written', async () => {
    let handler: Dispatcher.DispatchHandler | undefined
    const dispatcher = { dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => { handler = given } } as unknown as Dispatcher
    let isEvacuated = false
    const why = 'data centre dc1 is evacuated'
    const exchange = new Exchange(dispatcher, 'http://127.0.0.1:1', {
      method: 'GET', path: '/', headers: [], body: undefined, connectMs: 60_000, findRefusalReason: () => isEvacuated ? why : undefined, wasClosedCleanly: async () => true
    }, { onInterim: () => {}, onHead: () => true, onData: () => {} })
    isEvacuated = true
    const abort = vi.fn()
    handler?.onRequestStart?.({ abort } as unknown as Dispatcher.DispatchController, {})
    expect(await exchange.outcome).toEqual({ type: 'withheld', reason: why })
    expect(abort).toHaveBeenCalled()
    expect(exchange.isSent).toBe(false)
  })
})
