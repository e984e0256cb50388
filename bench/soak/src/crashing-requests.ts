/** Requests and parts of prompts under which engines crash: who sends them, and how an engine ends of one. */
import { request } from 'node:http'
import { HOST, KEY, TIMEOUT_MS } from './documents.ts'
import { type Engine } from './engine.ts'
import { type PlannedFault } from './faults.ts'
import { type Site } from './site.ts'
import { pause } from './waiting.ts'

/** With it begins the body of a request that no engine survives. */
export const CRASHING = 'no engine survives this: '
/** With it begins the body of a request whose prompt holds a part that no engine survives; the name of the part follows. */
export const CRASHING_PART = 'no engine survives the part '
/** With it begins the body of a sound request that shares its first part with such requests. */
export const BESIDE_PART = 'beside the part '
const ARRIVAL_MS = 250
const PART_ARRIVAL_MS = 150
/** An engine is back after so long, in ms. */
const BACK_MS = 1000

/** Sends the same request again and again, each time under a new id and to any gateway. */
export async function sendCrashing (site: Site, { engine, gateway, durationMs, atMs }: PlannedFault): Promise<void> {
  const body = `${CRASHING}${engine} ${Math.round(atMs)}`
  const gateways = [...site.gateways.keys()]
  const first = gateways.indexOf(gateway)
  const until = site.journal.now + durationMs
  for (let arrival = 0; site.journal.now < until; arrival += 1) {
    sendOnce(site, gateways[(first + arrival) % gateways.length] ?? gateway, { body, id: `crashing-${Math.round(atMs)}-${arrival}` })
    await pause(ARRIVAL_MS)
  }
}

/** Sends requests that are never alike and share a part which crashes engines, and sound ones that share their first part with them. */
export async function sendCrashingPart (site: Site, { engine, durationMs, atMs }: PlannedFault): Promise<void> {
  const gateways = [...site.gateways.keys()]
  const { journal } = site
  const part = `part-${engine}-${Math.round(atMs)}`
  const until = journal.now + durationMs
  for (let arrival = 0; journal.now < until; arrival += 1) {
    const gateway = gateways[arrival % gateways.length] ?? ''
    const id = `${part}-${arrival}`
    sendOnce(site, gateway, { body: `${CRASHING_PART}${part} ${arrival}`, id, parts: ['system', part, id] })
    const soundId = `beside-${id}`
    const sent = { part, gateway, sentAt: journal.now, isServed: false }
    journal.neighbours.push(sent)
    sendOnce(site, gateway, { body: `${BESIDE_PART}${soundId}`, id: soundId, parts: ['system', 'manual', soundId] }, (status) => {
      sent.isServed = status === 200
    })
    await pause(PART_ARRIVAL_MS)
  }
}

interface Sent { body: string, id: string, parts?: string[] }

/** Nobody waits for the answer: what engines see is what counts. */
function sendOnce (site: Site, gateway: string, { body, id, parts = [] }: Sent, onStatus = (_status: number) => {}): void {
  const [host = '', port = ''] = (site.places.get(gateway)?.listen ?? '').split(':')
  const headers = { host: HOST, authorization: `Bearer ${KEY}`, 'x-gullwall-request-id': id, 'x-gullwall-wait-ms': String(TIMEOUT_MS) }
  const prompt = { 'x-gullwall-prompt-parts': parts.map((part) => `${part}:10`).join(',') }
  const sent = request({ host, port, path: '/look-up/crashing', method: 'POST', headers: { ...headers, ...prompt } }, (response) => {
    onStatus(response.statusCode ?? 0)
    response.on('error', () => {})
    response.resume()
  })
  // A gateway that is down, or ends meanwhile, is one of the faults.
  sent.on('error', () => {})
  sent.end(body)
}

/** The process of an engine ends; another incarnation comes at its address. */
export async function crashAndReturn (site: Site, engine: Engine): Promise<void> {
  if (engine.state !== 'ready') return
  const { name } = engine.options
  const end = site.journal.disturb(name, 'crashed by a request')
  engine.state = 'gone'
  const closed = site.network.close(name)
  engine.stop()
  await closed
  await pause(BACK_MS)
  await engine.start()
  await site.network.reopen(name, engine.target)
  end()
}
