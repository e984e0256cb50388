import { beforeEach, describe, expect, it } from 'vitest'
import { createServer, type AddressInfo } from 'node:net'
import { type Lease } from '@gullwall/transport.messages'
import { CrashDetector, probeAddress, type InterruptedRequest, type ProbeResult } from '../src/crash-detector.ts'

const ENGINE = { incarnation: 'i-1', address: '127.0.0.1:1', silentMs: 0 }
const FIRST: InterruptedRequest = { requestId: 'r1', fingerprint: 'f1' }
const SECOND: InterruptedRequest = { requestId: 'r2', fingerprint: 'f2' }

/** Waits until the results of probes have been handled. */
const probesHandled = async () => { await new Promise((resolve) => setImmediate(resolve)) }

describe('an endpoint whose connection closes while requests are running there', () => {
  let now: number
  let state: Lease['state'] | undefined
  let isReplaced: boolean
  let probeResult: ProbeResult
  let probes: number
  let reported: Array<{ endpoint: string, requests: InterruptedRequest[] }>
  let detector: CrashDetector

  beforeEach(() => {
    now = 1000
    state = 'ready'
    isReplaced = false
    probeResult = 'refused'
    probes = 0
    reported = []
    detector = new CrashDetector({
      getLeaseState: () => state,
      isReplaced: () => isReplaced,
      onCrash: (endpoint, requests) => reported.push({ endpoint, requests }),
      probe: async () => {
        probes += 1
        return probeResult
      },
      now: () => now
    })
  })

  it('has crashed if its address refuses connections, and all requests running there are reported, also later ones', async () => {
    detector.recordBrokenConnection(ENGINE, FIRST)
    detector.recordBrokenConnection(ENGINE, SECOND)
    await probesHandled()
    expect(reported).toEqual([{ endpoint: 'i-1', requests: [FIRST, SECOND] }])
    detector.recordBrokenConnection(ENGINE, { requestId: 'r3', fingerprint: 'f3' })
    expect(reported.at(-1)?.requests).toEqual([{ requestId: 'r3', fingerprint: 'f3' }])
    expect(probes).toBe(1)
  })

  it.each<[string, Partial<{ state: Lease['state'], probeResult: ProbeResult, silentMs: number }>]>([
    ['its address accepts connections: it reset connections or fails some requests', { probeResult: 'open' }],
    ['its address is silent: its network failed or its box has no power', { probeResult: 'silent' }],
    ['it has reported that it is draining', { state: 'draining' }],
    ['it has reported that it is gone', { state: 'gone' }],
    ['it was silent for long before: its box had no power and is back', { silentMs: 5000 }]
  ])('has not crashed if %s', async (_condition, change) => {
    state = change.state ?? 'ready'
    probeResult = change.probeResult ?? 'refused'
    detector.recordBrokenConnection({ ...ENGINE, silentMs: change.silentMs ?? 0 }, FIRST)
    await probesHandled()
    for (let index = 0; index < 50; index += 1) {
      now += 100
      detector.check()
    }
    expect(reported).toEqual([])
    expect(detector.size).toBe(0)
  })

  it('has crashed if its next incarnation is known, although the address accepts connections again', async () => {
    probeResult = 'open'
    detector.recordBrokenConnection(ENGINE, FIRST)
    await probesHandled()
    detector.check()
    expect(reported).toEqual([])
    isReplaced = true
    detector.check()
    expect(reported).toEqual([{ endpoint: 'i-1', requests: [FIRST] }])
  })

  it('has crashed if a later request finds that no process is listening', async () => {
    probeResult = 'open'
    detector.recordBrokenConnection(ENGINE, FIRST)
    await probesHandled()
    detector.recordProcessEnd('i-1')
    expect(reported.length).toBe(1)
  })

  it('has not crashed if it reports that it is leaving shortly after its connections closed', async () => {
    probeResult = 'open'
    detector.recordBrokenConnection(ENGINE, FIRST)
    await probesHandled()
    state = 'gone'
    detector.recordProcessEnd('i-1')
    expect(reported).toEqual([])
  })

  it('remains crashed if the probe of its address times out after the crash was detected', async () => {
    probeResult = 'silent'
    detector.recordBrokenConnection(ENGINE, FIRST)
    detector.recordProcessEnd('i-1')
    await probesHandled()
    detector.recordBrokenConnection(ENGINE, SECOND)
    expect(reported.map(({ requests }) => requests)).toEqual([[FIRST], [SECOND]])
  })

  it('is no longer watched some seconds after a crash', async () => {
    detector.recordBrokenConnection(ENGINE, FIRST)
    await probesHandled()
    now += 11_000
    detector.check()
    expect(detector.size).toBe(0)
  })
})

describe('the probe of an address', () => {
  it('detects whether a process is listening', async () => {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    expect(await probeAddress(address)).toBe('open')
    await new Promise((resolve) => server.close(resolve))
    expect(await probeAddress(address)).toBe('refused')
  })
})
