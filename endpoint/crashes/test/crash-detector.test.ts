import { beforeEach, describe, expect, it } from 'vitest'
import { createServer, type AddressInfo } from 'node:net'
import { type Lease } from '@gullwall/transport.messages'
import { CrashDetector, probeAddress, type InterruptedRequest, type ProbeResult } from '../src/crash-detector.ts'

const ENGINE = { incarnation: 'i-1', address: '127.0.0.1:1', silentMs: 0 }
const FIRST: InterruptedRequest = { requestId: 'r1', fingerprint: 'f1' }
const SECOND: InterruptedRequest = { requestId: 'r2', fingerprint: 'f2' }

/** Lets what waits for a probe go on. */
const settled = async () => { await new Promise((resolve) => setImmediate(resolve)) }

describe('an endpoint whose connection breaks while requests run there', () => {
  let now: number
  let state: Lease['state'] | undefined
  let isReplaced: boolean
  let probed: ProbeResult
  let probes: number
  let told: Array<{ endpoint: string, requests: InterruptedRequest[] }>
  let watch: CrashDetector

  beforeEach(() => {
    now = 1000
    state = 'ready'
    isReplaced = false
    probed = 'refused'
    probes = 0
    told = []
    watch = new CrashDetector({
      getLeaseState: () => state,
      isReplaced: () => isReplaced,
      onCrash: (endpoint, requests) => told.push({ endpoint, requests }),
      probe: async () => {
        probes += 1
        return probed
      },
      now: () => now
    })
  })

  it('has crashed where its address refuses connections; all that ran there is told, also what breaks later', async () => {
    watch.recordBrokenConnection(ENGINE, FIRST)
    watch.recordBrokenConnection(ENGINE, SECOND)
    await settled()
    expect(told).toEqual([{ endpoint: 'i-1', requests: [FIRST, SECOND] }])
    watch.recordBrokenConnection(ENGINE, { requestId: 'r3', fingerprint: 'f3' })
    expect(told.at(-1)?.requests).toEqual([{ requestId: 'r3', fingerprint: 'f3' }])
    expect(probes).toBe(1)
  })

  it.each<[string, Partial<{ state: Lease['state'], probed: ProbeResult, silentMs: number }>]>([
    ['it lives: its connections were reset, or it fails a part of its requests', { probed: 'open' }],
    ['nothing is heard there: it is cut off, or its box has no power', { probed: 'silent' }],
    ['it has said that it leaves', { state: 'draining' }],
    ['it has said that it is gone', { state: 'gone' }],
    ['it was silent long before: its box was without power and is back', { silentMs: 5000 }]
  ])('has not crashed where %s', async (_what, change) => {
    state = change.state ?? 'ready'
    probed = change.probed ?? 'refused'
    watch.recordBrokenConnection({ ...ENGINE, silentMs: change.silentMs ?? 0 }, FIRST)
    await settled()
    for (let turn = 0; turn < 50; turn += 1) {
      now += 100
      watch.check()
    }
    expect(told).toEqual([])
    expect(watch.size).toBe(0)
  })

  it('has crashed where its successor is there already, as a box finds that was suspended meanwhile', async () => {
    probed = 'open'
    watch.recordBrokenConnection(ENGINE, FIRST)
    await settled()
    watch.check()
    expect(told).toEqual([])
    isReplaced = true
    watch.check()
    expect(told).toEqual([{ endpoint: 'i-1', requests: [FIRST] }])
  })

  it('has crashed where another request finds that nothing listens there', async () => {
    probed = 'open'
    watch.recordBrokenConnection(ENGINE, FIRST)
    await settled()
    watch.recordProcessEnd('i-1')
    expect(told.length).toBe(1)
  })

  it('has not crashed where its word that it leaves comes a little later than the end of its connections', async () => {
    probed = 'open'
    watch.recordBrokenConnection(ENGINE, FIRST)
    await settled()
    state = 'gone'
    watch.recordProcessEnd('i-1')
    expect(told).toEqual([])
  })

  it('has crashed for good where that showed before a look at its address timed out', async () => {
    probed = 'silent'
    watch.recordBrokenConnection(ENGINE, FIRST)
    watch.recordProcessEnd('i-1')
    await settled()
    watch.recordBrokenConnection(ENGINE, SECOND)
    expect(told.map(({ requests }) => requests)).toEqual([[FIRST], [SECOND]])
  })

  it('is forgotten some seconds after a crash', async () => {
    watch.recordBrokenConnection(ENGINE, FIRST)
    await settled()
    now += 11_000
    watch.check()
    expect(watch.size).toBe(0)
  })
})

describe('a look at an address', () => {
  it('tells whether somebody listens there', async () => {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    expect(await probeAddress(address)).toBe('open')
    await new Promise((resolve) => server.close(resolve))
    expect(await probeAddress(address)).toBe('refused')
  })
})
