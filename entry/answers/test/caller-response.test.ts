import { EventEmitter } from 'node:events'
import { type ServerResponse } from 'node:http'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { CallerResponse } from '@gullwall/entry.answers'

/** A caller that takes no byte. */
class SlowResponse extends EventEmitter {
  headersSent = false
  writableFinished = false
  destroyed = false
  write (): boolean { return false }
  writeHead (): void { this.headersSent = true }
  getHeader (): undefined { return undefined }
  end (): void {}
  destroy (): void {
    this.destroyed = true
    this.emit('close')
  }
}

describe('the answer to a slow caller', () => {
  afterEach(() => vi.useRealTimers())

  it('holds the endpoint back until the caller has taken what was written', async () => {
    const response = new SlowResponse()
    const caller = new CallerResponse(response as unknown as ServerResponse, 'r1')
    let isTaken = false
    const written = caller.write(Buffer.from('x'))?.then(() => { isTaken = true })
    await Promise.resolve()
    expect(isTaken).toBe(false)
    response.emit('drain')
    await written
    expect(isTaken).toBe(true)
  })

  it('gives up a caller that takes nothing for long', async () => {
    vi.useFakeTimers()
    const response = new SlowResponse()
    const caller = new CallerResponse(response as unknown as ServerResponse, 'r2')
    const written = caller.write(Buffer.from('x'))
    await vi.advanceTimersByTimeAsync(29_000)
    expect(caller.isGone).toBe(false)
    await vi.advanceTimersByTimeAsync(2000)
    await written
    expect(caller.isGone).toBe(true)
    expect(response.destroyed).toBe(true)
  })
})
