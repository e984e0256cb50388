/** Requests under which engines crash: who sends them, and how an engine ends of one. */
import { request } from 'node:http'
import { HOST, KEY, TIMEOUT_MS } from './documents.ts'
import { type Engine } from './engine.ts'
import { type PlannedFault } from './faults.ts'
import { type Site } from './site.ts'
import { pause } from './waiting.ts'

/** With it begins the body of a request that no engine survives. */
export const CRASHING = 'no engine survives this: '
const ARRIVAL_MS = 250
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

/** Nobody waits for the answer: what engines see is what counts. */
function sendOnce (site: Site, gateway: string, { body, id }: { body: string, id: string }): void {
  const [host = '', port = ''] = (site.places.get(gateway)?.listen ?? '').split(':')
  const headers = { host: HOST, authorization: `Bearer ${KEY}`, 'x-gullwall-request-id': id, 'x-gullwall-wait-ms': String(TIMEOUT_MS) }
  const sent = request({ host, port, path: '/look-up/crashing', method: 'POST', headers }, (response) => {
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
