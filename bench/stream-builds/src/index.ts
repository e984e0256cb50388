/** Measures what the bindings of streams cost: time at the first event, messages, bytes, and the time of a question. */
import { setTimeout as sleep } from 'node:timers/promises'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { createControl, type ControlServices } from '@gullwall/control.program'
import { MemoryDisk } from '@gullwall/control.storage'
import { createGateway, type Call, type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { encode, Link } from '@gullwall/transport.link'
import { parseMessage, type Message } from '@gullwall/transport.messages'

const CONTROLS = 5
const LINK_KEY = 'a-shared-key-for-loopback'
const ANY_ADDRESS = '127.0.0.1:0'
const SECOND_MS = 1000
const WAIT_MS = 8000
const HANDLED = 20_000
const ASK_EVERY = 10
const BYTES_OF_FRAME = 2 + 40

export interface Figures {
  /** Streams that began, a second. */
  rate: number
  /** The time that a gateway takes at the first event of a stream, in µs. */
  bindUs: number
  messagesPerSecond: number
  /** Bytes to both holders, with the headers of frames and packets. */
  bytesPerSecond: number
  /** A question to one control process, in ms. To wait for a holder before each first event would take as long. */
  askMs: { median: number, p95: number }
}

interface Traffic { messages: number, bytes: number }

/** Begins streams at a rate for some seconds. */
export async function measureRate (rate: number, seconds: number): Promise<Figures> {
  const { gateway, stop } = await start()
  const traffic = countTraffic()
  const { streamBuilds, controlLinks } = { streamBuilds: gateway.get('streamBuilds'), controlLinks: gateway.get('controlLinks') }
  const [link] = controlLinks.linksByRegion().local
  const binds: number[] = []
  const asks: number[] = []
  const total = rate * seconds
  const startedAt = performance.now()
  for (let count = 0; count < total; count += 1) {
    await sleep(Math.max(0, startedAt + count * SECOND_MS / rate - performance.now()))
    const call = callOf(count)
    const before = performance.now()
    streamBuilds.bind(call, { incarnation: 'i-1', service: 'engines-a', build: 'v1.1', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 64 })
    binds.push(performance.now() - before)
    if (count % ASK_EVERY !== 0 || link === undefined) continue
    asks.push(await timeOf(async () => await link.request({ kind: 'streamBuildOf', key: 'nobody' }, 'streamBuild')))
  }
  const tookS = (performance.now() - startedAt) / SECOND_MS
  traffic.stop()
  await stop()
  return {
    rate,
    bindUs: SECOND_MS * binds.reduce((sum, value) => sum + value, 0) / binds.length,
    messagesPerSecond: traffic.counted.messages / tookS,
    bytesPerSecond: traffic.counted.bytes / tookS,
    askMs: { median: quantile(asks, 0.5), p95: quantile(asks, 0.95) }
  }
}

/** Returns the processor time that a control process takes for one record, in µs, if messages have some records each. */
export async function measureRecord (recordsInMessage: number): Promise<number> {
  const { control, stop } = await start()
  const streamBuilds = control.get('streamBuilds')
  const messages = Array.from({ length: HANDLED / recordsInMessage }, (_, number) => ({
    kind: 'streamBuilds',
    bindings: [{ service: 'engines-a', incarnation: '', build: 'v1.1' }],
    records: Array.from({ length: recordsInMessage }, (_record, index) => [`${number}-${index}`.padEnd(11, 'x'), 0, WAIT_MS])
  }))
  const before = process.cpuUsage()
  for (const message of messages) {
    const parsed = parseMessage(message)
    if (parsed.ok && parsed.message.kind === 'streamBuilds') streamBuilds.receive(parsed.message)
  }
  const { user, system } = process.cpuUsage(before)
  await stop()
  return (user + system) / HANDLED
}

async function start (): Promise<{ gateway: Kernel<GatewayServices>, control: Kernel<ControlServices>, stop: () => Promise<void> }> {
  const addresses = await freeAddresses(CONTROLS)
  const common = { box: 'b1', dataCentre: 'dc1', linkKey: LINK_KEY, logLevel: 'error' as const, admin: ANY_ADDRESS, regions: { dc1: 'north' } }
  const controls = await Promise.all(addresses.map(async (listen, index) => await createControl({
    ...common,
    box: `c${index}`,
    listen,
    member: `c${index}`,
    members: {},
    seeds: [listen],
    founds: true,
    dataFolder: 'unused',
    operatorToken: 'an-operator-token-for-loopback',
    quorumHeartbeatMs: 1000,
    quorumElectionMs: 3000,
    firstElectionShare: 1
  }, { disk: new MemoryDisk(), write: () => {} })))
  for (const control of controls) await control.start()
  const gateway = createGateway({
    ...common,
    listen: ANY_ADDRESS,
    readiness: ANY_ADDRESS,
    seeds: addresses,
    graceMs: 2000,
    retryRatio: 1,
    retryWindowMs: SECOND_MS,
    retrySlack: 1,
    usageWindowMs: SECOND_MS
  }, { write: () => {} })
  await gateway.start()
  await until('all links', () => gateway.get('controlLinks').openCount === CONTROLS)
  const [control] = controls as [Kernel<ControlServices>]
  return { gateway, control, stop: async () => { for (const kernel of [gateway, ...controls]) await kernel.stop() } }
}

/** Counts the messages that tell bindings. */
function countTraffic (): { counted: Traffic, stop: () => void } {
  const counted: Traffic = { messages: 0, bytes: 0 }
  const { send } = Link.prototype
  Link.prototype.send = function (this: Link, message: Message): boolean {
    if (message.kind === 'streamBuilds') {
      counted.messages += 1
      counted.bytes += encode({ message }).length + BYTES_OF_FRAME
    }
    return send.call(this, message)
  }
  return { counted, stop: () => { Link.prototype.send = send } }
}

function callOf (count: number): Call {
  const route = { name: 'draft', isResumable: true, timeoutMs: WAIT_MS }
  return { requestId: `request-${count}`, waitMs: WAIT_MS, arrivedAt: performance.now(), organisation: { name: 'workshop' }, route } as unknown as Call
}

async function timeOf (act: () => Promise<unknown>): Promise<number> {
  const startedAt = performance.now()
  await act()
  return performance.now() - startedAt
}

function quantile (values: readonly number[], share: number): number {
  return [...values].sort((left, right) => left - right)[Math.floor(share * (values.length - 1))] ?? NaN
}
