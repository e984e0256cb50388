import { describe, expect, it, vi } from 'vitest'
import { type Dispatcher } from 'undici'
import { RevisionStore } from '@gullwall/config.spread'
import { ControlState } from '@gullwall/control.state'
import { silentLogger } from '@gullwall/core.logger'
import { EvacuatedDataCentres } from '../src/evacuated-data-centres.ts'
import { Exchange } from '../src/exchange.ts'

/** The records of control, and a store to which the test copies them. */
class Fixture {
  readonly store = new RevisionStore({ logger: silentLogger() })
  readonly control = new ControlState()
  readonly withdrawn: string[] = []
  readonly wake = vi.fn()
  readonly dataCentres = new EvacuatedDataCentres({ store: this.store, logger: silentLogger(), view: { wake: this.wake } })

  constructor () {
    this.dataCentres.onWithdrawn((dataCentre) => this.withdrawn.push(dataCentre))
  }

  order (isEvacuated: boolean): void {
    this.control.apply(0, JSON.stringify({ type: 'evacuate', dataCentre: 'dc1', isEvacuated, seen: this.control.revision }))
  }

  copyRecords (): void {
    this.store.replace(this.control.revision, [...this.control.records.entries()])
  }
}

describe('evacuated data centres', () => {
  it('are those of the current records, and a change wakes waiting requests', () => {
    const fixture = new Fixture()
    fixture.order(true)
    expect(fixture.dataCentres.evacuated).toEqual([])
    fixture.copyRecords()
    expect(fixture.dataCentres.evacuated).toEqual(['dc1'])
    expect(fixture.dataCentres.rule('dc1', {} as never)).toBe('data centre dc1 is evacuated')
    expect(fixture.dataCentres.rule('dc2', {} as never)).toBeUndefined()
    expect(fixture.wake).toHaveBeenCalledTimes(1)
  })

  it('are reported as withdrawn once, even if the evacuation itself was missed', () => {
    const fixture = new Fixture()
    fixture.control.apply(0, JSON.stringify({ type: 'document', version: 1, text: '{}' }))
    fixture.copyRecords()
    fixture.order(true)
    fixture.order(false)
    fixture.copyRecords()
    expect(fixture.withdrawn).toEqual(['dc1'])
    fixture.order(false)
    fixture.copyRecords()
    expect(fixture.withdrawn).toEqual(['dc1'])
    fixture.order(true)
    fixture.copyRecords()
    fixture.order(false)
    fixture.order(true)
    fixture.copyRecords()
    expect(fixture.dataCentres.evacuated).toEqual(['dc1'])
    expect(fixture.withdrawn).toEqual(['dc1', 'dc1'])
  })

  it('that were withdrawn before the process had any records are not reported', () => {
    const fixture = new Fixture()
    fixture.order(true)
    fixture.order(false)
    fixture.copyRecords()
    expect(fixture.withdrawn).toEqual([])
  })
})

describe('an attempt that waits for a connection', () => {
  it('is withheld if its data centre is evacuated meanwhile, before any byte is written', async () => {
    let handler: Dispatcher.DispatchHandler | undefined
    const dispatcher = { dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => { handler = given } } as unknown as Dispatcher
    let isEvacuated = false
    const why = 'data centre dc1 is evacuated'
    const exchange = new Exchange(dispatcher, 'http://127.0.0.1:1', {
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      connectMs: 60_000,
      findRefusalReason: () => isEvacuated ? why : undefined,
      onSending: () => {},
      wasClosedCleanly: async () => true
    }, { onInterim: () => {}, onHead: () => 'read', onEndless: () => {}, onData: () => {} })
    isEvacuated = true
    const abort = vi.fn()
    handler?.onRequestStart?.({ abort } as unknown as Dispatcher.DispatchController, {})
    expect(await exchange.outcome).toEqual({ type: 'withheld', reason: why })
    expect(abort).toHaveBeenCalled()
    expect(exchange.isSent).toBe(false)
  })
})
