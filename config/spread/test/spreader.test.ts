import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createLogger } from '@gullwall/core.logger'
import { type Link } from '@gullwall/transport.link'
import { type Message } from '@gullwall/transport.messages'
import { RevisionStore, Spreader } from '../src/index.ts'

const FARTHER_MS = 250

class FakeLink {
  readonly sent: Message[] = []
  send (message: Message): boolean {
    this.sent.push(message)
    return true
  }

  get asLink (): Link {
    return this as unknown as Link
  }

  get kinds (): string[] {
    return this.sent.map(({ kind }) => kind)
  }
}

describe('a process that has just started and holds nothing', () => {
  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })

  function started () {
    const store = new RevisionStore({ logger: createLogger({ program: 'test', box: 'b', level: 'error', write: () => {} }) })
    store.apply(1, [{ key: 'a', value: 'x' }])
    const link = new FakeLink()
    const spreader = new Spreader(store, { takes: false, delayMs: () => FARTHER_MS })
    spreader.opened(link.asLink)
    spreader.receive(link.asLink, { kind: 'heartbeat', revision: 0 })
    return { link, spreader }
  }

  it('is told nothing over a farther link if a nearer one has told it in time', () => {
    const { link, spreader } = started()
    vi.advanceTimersByTime(FARTHER_MS / 2)
    spreader.receive(link.asLink, { kind: 'heartbeat', revision: 1 })
    vi.advanceTimersByTime(2 * FARTHER_MS)
    expect(link.kinds).not.toContain('revisions')
    expect(link.kinds).not.toContain('snapshot')
  })

  it('is told over the farther link if the nearer one has not', () => {
    const { link } = started()
    vi.advanceTimersByTime(FARTHER_MS + 1)
    expect(link.kinds.filter((kind) => kind === 'revisions' || kind === 'snapshot')).toHaveLength(1)
  })
})
