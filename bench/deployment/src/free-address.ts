/**
 * Addresses on loopback that nobody uses, for servers that start a moment later. The ports lie below those that the
 * system gives to outgoing connections and to servers that ask for any port, so that none of these takes one meanwhile.
 * Each process and test worker holds a range of its own by listening on its first port: the address of a server that is
 * down for a moment is not given to anybody else.
 */
import { createServer, type Server } from 'node:net'

const FIRST_PORT = 10_000
const RANGES = 220
const PORTS_IN_RANGE = 100
/** Spreads the workers of one process. */
const WORKER_STEP = 37

/** The first port of the range of this process, once it has been taken. */
let range: Promise<number> | undefined
let next = Math.floor(Math.random() * (PORTS_IN_RANGE - 1))

export async function freeAddress (): Promise<string> {
  range ??= takeRange()
  const lock = await range
  for (let tries = 0; tries < PORTS_IN_RANGE; tries++) {
    const port = lock + 1 + next
    next = (next + 1) % (PORTS_IN_RANGE - 1)
    if (await isFree(port)) return `127.0.0.1:${port}`
  }
  throw new Error(`no free port from ${lock} on`)
}

export async function freeAddresses (count: number): Promise<string[]> {
  const addresses: string[] = []
  while (addresses.length < count) addresses.push(await freeAddress())
  return addresses
}

/** Takes the first range from the own one on that no other process holds, for as long as this process lives. */
async function takeRange (): Promise<number> {
  const worker = Number(process.env['VITEST_POOL_ID'] ?? 0)
  for (let tries = 0; tries < RANGES; tries++) {
    const port = FIRST_PORT + PORTS_IN_RANGE * ((process.pid + WORKER_STEP * worker + tries) % RANGES)
    const lock = await listenOn(port)
    if (lock === undefined) continue
    lock.unref()
    return port
  }
  throw new Error(`all ${RANGES} ranges of ports are taken`)
}

async function isFree (port: number): Promise<boolean> {
  const server = await listenOn(port)
  if (server === undefined) return false
  await new Promise((resolve) => server.close(resolve))
  return true
}

/** Gives a server on a port, or nothing if somebody else has it. */
async function listenOn (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
