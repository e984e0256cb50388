// Guards against a balancer that sends nearly all new connections to one gateway, which then serves few while the others are idle.
import { request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { buildPrograms } from '../src/build.ts'
import { HOST, KEY } from '../src/documents.ts'
import { Operator } from '../src/operator.ts'
import { Random } from '../src/random.ts'
import { Site } from '../src/site.ts'
import { until } from '../src/waiting.ts'

const GATEWAYS = 3
const SEED = 64
/** The time of each tenth of a second for which gateways may run: boxes for gateways are small. */
const RUN_MS = 4
const CYCLE_MS = 100
const PER_SECOND = 100
const UNEVEN_SHARE = 0.9
const EVEN_MS = 4000
/** The users' bounds: the time after which the rule holds, and the share of the requests served before. */
const CONTACT_MS = 3000
const UNEVEN_MS = CONTACT_MS + 4000
const MIN_SHARE_OF_BEFORE = 0.75
const PATIENCE_MS = 2000

interface Asked { at: number, isServed: boolean, tries: number }

/** Limits the processor time of processes by stopping them for most of each cycle. */
function limitTime (site: Site): () => void {
  const signal = (name: 'SIGSTOP' | 'SIGCONT') => {
    for (const program of site.gateways.values()) program.signal(name)
  }
  const timer = setInterval(() => {
    signal('SIGCONT')
    setTimeout(() => signal('SIGSTOP'), RUN_MS)
  }, CYCLE_MS)
  return () => {
    clearInterval(timer)
    setTimeout(() => signal('SIGCONT'), CYCLE_MS)
  }
}

/** Sends one request on a connection of its own. */
async function send (address: string): Promise<'served' | 'failed' | 'closed unread'> {
  return await new Promise((resolve) => {
    const asked = request(`http://${address}/look-up/`, {
      agent: false, headers: { host: HOST, authorization: `Bearer ${KEY}` }, signal: AbortSignal.timeout(PATIENCE_MS)
    }, (response) => {
      response.resume()
      response.on('error', () => resolve('failed'))
      response.on('close', () => resolve(response.complete && response.statusCode === 200 ? 'served' : 'failed'))
    })
    asked.on('error', ({ name }) => resolve(name === 'AbortError' ? 'failed' : 'closed unread'))
    asked.end()
  })
}

/** Plays even and then uneven connections; returns the shares of requests served, and how often their callers tried. */
async function play (): Promise<{ before: number, later: number, tries: number }> {
  const site = new Site({ random: new Random(SEED), gateways: GATEWAYS, controls: 3, hasBuilds: false })
  await site.start(await buildPrograms(site.folder))
  const operator = new Operator(site, () => {})
  await until('the first document', 45_000, async () => (await operator.change()).ackedAt !== undefined)
  await site.settled()
  await sleep(2000)
  const stopLimiting = limitTime(site)
  const addresses = [...site.gateways.keys()].map((name) => site.places.get(name)?.listen ?? '')
  const asked: Asked[] = []
  const open: Array<Promise<void>> = []
  const random = new Random(SEED)
  const ask = async (first: string, at: number) => {
    let address = first
    for (let tries = 1; ; tries += 1) {
      const result = await send(address)
      // A connection that was closed unread says nothing of the request; the caller tries another gateway.
      if (result !== 'closed unread' || tries === 3) {
        asked.push({ at, isServed: result === 'served', tries })
        return
      }
      address = random.pick(addresses)
    }
  }
  const begunAt = performance.now()
  let count = 0
  for (let at = 0; at < EVEN_MS + UNEVEN_MS; at = performance.now() - begunAt) {
    for (; count < at * PER_SECOND / 1000; count += 1) {
      const isUneven = at >= EVEN_MS && random.chance(UNEVEN_SHARE)
      open.push(ask(isUneven ? addresses[0] ?? '' : random.pick(addresses), at))
    }
    await sleep(5)
  }
  await Promise.all(open)
  stopLimiting()
  await site.stop()
  site.removeFolder()
  const served = (from: number, to: number) => {
    const some = asked.filter(({ at }) => at >= from && at < to)
    return some.filter(({ isServed }) => isServed).length / some.length
  }
  const uneven = asked.filter(({ at }) => at >= EVEN_MS + CONTACT_MS)
  const tries = uneven.reduce((sum, one) => sum + one.tries, 0) / uneven.length
  return { before: served(1000, EVEN_MS), later: served(EVEN_MS + CONTACT_MS, EVEN_MS + UNEVEN_MS), tries }
}

describe('a gateway that gets nine of ten new connections', () => {
  it('serves what it reads, and closes the rest unread for the others', async () => {
    const result = await play()
    console.log(`seed ${SEED}: ${JSON.stringify(result)}`)
    expect(result.later).toBeGreaterThanOrEqual(MIN_SHARE_OF_BEFORE * result.before)
  }, 120_000)
})
