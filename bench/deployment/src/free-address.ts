/**
 * Addresses on loopback that nobody uses, for servers that start a moment later. The ports lie below those that the
 * system gives to outgoing connections and to servers that ask for any port, so that none of these takes one meanwhile;
 * processes and test workers that run at the same time look in different ranges.
 */
import { createServer } from 'node:net'

const FIRST_PORT = 10_000
const RANGES = 220
const PORTS_IN_RANGE = 100
/** Spreads the workers of one process. */
const WORKER_STEP = 37

let next = Math.floor(Math.random() * PORTS_IN_RANGE)

export async function freeAddress (): Promise<string> {
  for (let tries = 0; tries < PORTS_IN_RANGE; tries++) {
    const port = firstPortHere() + next
    next = (next + 1) % PORTS_IN_RANGE
    if (await isFree(port)) return `127.0.0.1:${port}`
  }
  throw new Error(`no free port from ${firstPortHere()} on`)
}

export async function freeAddresses (count: number): Promise<string[]> {
  const addresses: string[] = []
  while (addresses.length < count) addresses.push(await freeAddress())
  return addresses
}

function firstPortHere (): number {
  const worker = Number(process.env['VITEST_POOL_ID'] ?? 0)
  return FIRST_PORT + PORTS_IN_RANGE * ((process.pid + WORKER_STEP * worker) % RANGES)
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
