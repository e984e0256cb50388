/**
 * Listening on an address, or taking over one that was opened before the program was loaded. Most of a start is the loading
 * of the program; a caller that connects meanwhile is refused unless its port is open already, and then waits instead.
 */
import { type Server as HttpServer } from 'node:http'
import { type Server, type Socket } from 'node:net'
import { setTimeout } from 'node:timers/promises'
import { GullwallError } from '@gullwall/core.error'
import { splitAddress } from '@gullwall/config.settings'

/** Where a loader leaves the addresses that it has opened, on the global object. */
export const EARLY_LISTENERS = Symbol.for('gullwall.earlyListeners')

/** A connection that nothing was read from yet. */
export interface WaitingConnection {
  socket: Socket
  /** When it was accepted, by the monotonic clock. */
  acceptedAt: number
}

/** An address that a loader has opened. */
export interface EarlyListener {
  server: Server
  waiting: WaitingConnection[]
}

/**
 * Connections that wait are served so far apart, in ms: a process that has just started compiles as it goes, and those who
 * come now would be late with those who have waited. A loop that is held makes it longer by itself.
 */
const SPACING_MS = 30
/** One that has waited for so long is closed unread, in ms: its caller has gone on, or may ask again as nothing was read. */
const MAX_WAIT_MS = 1000

/** Whether a loader has opened an address and nobody has taken it over yet. */
export function isOpenedEarly (address: string): boolean {
  return earlyListeners()?.has(address) === true
}

/**
 * Listens on an address. What has connected to an early listener there is served from now on, the newest first: what has
 * waited longest has the least time left, and would take the processor from callers who can still be served in time.
 * @throws ERR_GULLWALL_LISTEN if the address can't be had
 */
export async function listenOn (server: HttpServer, address: string): Promise<void> {
  const { host, port } = splitAddress(address)
  const early = takeEarly(address)
  await new Promise<void>((resolve, reject) => {
    const failed = (cause: Error) => {
      reject(new GullwallError('ERR_GULLWALL_LISTEN', `can't listen on ${address}`, { step: 'listen', peer: address, cause }))
    }
    const listening = () => {
      // A later error of the server is not one of listening, and must not go unnoticed.
      server.off('error', failed)
      resolve()
    }
    server.once('error', failed)
    if (early === undefined) server.listen(port, host, listening)
    else server.listen(early.server, listening)
  })
  void serveAll(server, early?.waiting.splice(0) ?? [])
}

async function serveAll (server: HttpServer, waiting: readonly WaitingConnection[]): Promise<void> {
  for (const { socket, acceptedAt } of [...waiting].reverse()) {
    if (socket.destroyed) continue
    if (!server.listening || performance.now() - acceptedAt > MAX_WAIT_MS) {
      socket.destroy()
      continue
    }
    server.emit('connection', socket)
    socket.resume()
    await setTimeout(SPACING_MS)
  }
}

/** An address is taken over once; a second server would share its port. */
function takeEarly (address: string): EarlyListener | undefined {
  const listeners = earlyListeners()
  const early = listeners?.get(address)
  listeners?.delete(address)
  return early?.server.listening === true ? early : undefined
}

function earlyListeners (): Map<string, EarlyListener> | undefined {
  return (globalThis as { [EARLY_LISTENERS]?: Map<string, EarlyListener> })[EARLY_LISTENERS]
}
