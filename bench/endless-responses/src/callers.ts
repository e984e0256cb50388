/** The callers of the endless responses, and those of the sound requests beside them. */
import { setTimeout as sleep } from 'node:timers/promises'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Pool } from 'undici'
import { HOST, KEY } from './deployment.ts'

/** How a request ended for its caller. */
export interface Reply {
  /** The status, or `closed` if the connection ended without a response. */
  status: number | 'closed'
  body: string
  tookMs: number
}

const MS_PER_SECOND = 1000
/** Time after which the caller of a request that was not forwarded sends the next one, in ms. */
const PAUSE_MS = 20

export class Caller {
  private readonly pool: Pool
  private count = 0

  constructor (address: string, private readonly name: string) {
    this.pool = new Pool(`http://${address}`, { headersTimeout: 0, bodyTimeout: 0 })
  }

  async send (path: string): Promise<Reply> {
    this.count += 1
    const id = `${this.name}-${this.count}`
    const headers = { host: HOST, authorization: `Bearer ${KEY}`, 'x-gullwall-request-id': id }
    const startedAt = performance.now()
    const tookMs = () => performance.now() - startedAt
    try {
      const { statusCode, body } = await this.pool.request({ method: 'POST', path: `${path}${this.count}`, headers, body: 'x' })
      return { status: statusCode, body: await body.text(), tookMs: tookMs() }
    } catch {
      return { status: 'closed', body: '', tookMs: tookMs() }
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

/** Sends requests for a time, as many at once, each as soon as one has ended. */
export async function sendEndless (caller: Caller, path: string, atOnce: number, seconds: number): Promise<Reply[]> {
  const endsAt = performance.now() + seconds * MS_PER_SECOND
  const replies: Reply[] = []
  await Promise.all(Array.from({ length: atOnce }, async () => {
    while (performance.now() < endsAt) {
      const reply = await caller.send(path)
      replies.push(reply)
      if (reply.status === 'closed' || reply.tookMs < PAUSE_MS) await sleep(PAUSE_MS)
    }
  }))
  return replies
}

/** Sends requests at random times, by a seed, for a time, whatever has become of those before. */
export async function sendSound (caller: Caller, seed: number, perSecond: number, seconds: number): Promise<Reply[]> {
  const random = xoroshiro128plus(seed)
  const startedAt = performance.now()
  const replies: Array<Promise<Reply>> = []
  for (let dueMs = 0; ;) {
    dueMs += -Math.log(1 - uniformFloat64(random)) / perSecond * MS_PER_SECOND
    if (dueMs >= seconds * MS_PER_SECOND) return await Promise.all(replies)
    const waitMs = startedAt + dueMs - performance.now()
    if (waitMs > 1) await sleep(waitMs)
    replies.push(caller.send('/sound/'))
  }
}
