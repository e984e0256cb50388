/** A program that is asked to stop while it starts. */
import { describe, expect, it } from 'vitest'
import { Kernel, type Service } from '@gullwall/core.kernel'

interface Services {
  first: Service
  slow: Service
  last: Service
}

function build () {
  const calls: string[] = []
  let ready = () => {}
  const started = new Promise<void>((resolve) => { ready = resolve })
  let beginSlow = () => {}
  const slowBegins = new Promise<void>((resolve) => { beginSlow = resolve })
  const service = (name: string, start: () => Promise<void> | void = () => {}): Service => ({
    start: async () => {
      await start()
      calls.push(`start ${name}`)
    },
    stop: () => { calls.push(`stop ${name}`) }
  })
  const kernel = new Kernel<Services>({ stopDeadlineMs: 1000 })
    .service('first', () => service('first'))
    .service('slow', () => service('slow', async () => {
      beginSlow()
      await started
    }))
    .service('last', () => service('last'))
  return { kernel, calls, ready, slowBegins }
}

describe('a kernel that is stopped while it starts', () => {
  it('stops what has started, also what was just starting, and starts nothing more', async () => {
    const { kernel, calls, ready, slowBegins } = build()
    const starting = kernel.start()
    await slowBegins
    const stopping = kernel.stop()
    ready()
    await Promise.all([starting, stopping])
    expect(calls).toEqual(['start first', 'start slow', 'stop slow', 'stop first'])
  })

  it('ends within its deadline where what was starting does not', async () => {
    const { kernel, calls, slowBegins } = build()
    void kernel.start()
    await slowBegins
    await expect(kernel.stop()).rejects.toMatchObject({ code: 'ERR_GULLWALL_STOP_DEADLINE' })
    expect(calls).toEqual(['start first'])
  })

  it('that never started stops at once', async () => {
    const { kernel, calls } = build()
    await kernel.stop()
    expect(calls).toEqual([])
  })
})
