/** The links between processes: each address that a process tells others is that of a proxy, where links can be harmed. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { ConnectionSources } from './connection-source.ts'
import { Pipe } from './pipe.ts'

/** What is done to the links from some processes to others. */
export interface Harm {
  from: (name: string) => boolean
  to: (name: string) => boolean
  /** Bytes wait in this direction until the harm has ended. */
  holdsThere?: boolean
  holdsBack?: boolean
  /** Bytes are late by so much, in ms. */
  delayMs?: number
}

interface ProxiedConnection { from: string, to: string, near: Socket, far: Socket, there: Pipe, back: Pipe }

/** A connection is without work if no byte went over it for so long, in ms. */
const IDLE_MS = 300
/** Whoever runs this, as the source of a connection. */
export const OUTSIDE = 'outside'

export class Network {
  /** The processes by name; connections of any other are taken to come from outside. */
  readonly pids = new Map<string, number>()
  private readonly openers = new ConnectionSources(this.pids)
  private readonly harms = new Set<Harm>()
  private readonly connections = new Set<ProxiedConnection>()
  private readonly sources = new Map<number, string>()
  private readonly proxies = new Map<string, Proxy>()

  /** Opens an address for a process that listens elsewhere. */
  async open (name: string, address: string, target: string): Promise<void> {
    const proxy = new Proxy(address, target, (near) => { void this.accept(name, near, proxy) })
    this.proxies.set(name, proxy)
    await proxy.listen()
  }

  /** Connections to a process that is down are refused. */
  async close (name: string): Promise<void> {
    await this.proxies.get(name)?.close()
    this.reset((connection) => connection.to === name)
  }

  async reopen (name: string, target?: string): Promise<void> {
    const proxy = this.proxies.get(name)
    if (proxy !== undefined && target !== undefined) proxy.target = target
    await proxy?.listen()
  }

  /** Which process a connection comes from, by the port that its proxy has opened it from. */
  sourceAt (port: number): string {
    return this.sources.get(port) ?? OUTSIDE
  }

  /** Harms links until the result is called. */
  harm (harm: Harm): () => void {
    this.harms.add(harm)
    this.applyHarms()
    return () => {
      this.harms.delete(harm)
      this.applyHarms()
    }
  }

  /** Resets open connections. */
  reset (matches: (connection: { from: string, to: string }) => boolean): void {
    for (const connection of [...this.connections]) {
      if (!matches(connection)) continue
      connection.near.resetAndDestroy()
      connection.far.resetAndDestroy()
    }
  }

  /** Connections without work stay open, and whatever is sent over them is lost. */
  forgetIdle (name: string): void {
    const now = performance.now()
    for (const { to, there, back } of this.connections) {
      if (to === name && now - Math.max(there.usedAt, back.usedAt) > IDLE_MS) {
        there.isLost = true
        back.isLost = true
      }
    }
  }

  /** Whether something sent from one to the other would wait now; for what does not go through a proxy. */
  isHeld (from: string, to: string): boolean {
    return this.harmsOn(from, to).some(({ holdsThere, holdsBack }) => holdsThere === true || holdsBack === true)
  }

  async stop (): Promise<void> {
    this.harms.clear()
    this.reset(() => true)
    await Promise.all([...this.proxies.values()].map(async (proxy) => await proxy.close()))
  }

  private async accept (to: string, near: Socket, proxy: Proxy): Promise<void> {
    near.on('error', () => {})
    near.pause()
    const from = await this.openers.of({ from: near.remotePort ?? 0, to: near.localPort ?? 0 }) ?? OUTSIDE
    if (near.destroyed) return
    const [host = '', port = ''] = proxy.target.split(':')
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    const connection = { from, to, near, far, there: new Pipe(near, far), back: new Pipe(far, near) }
    this.connections.add(connection)
    far.once('connect', () => this.sources.set(far.localPort ?? 0, from))
    for (const socket of [near, far]) socket.once('close', () => this.forgetClosed(connection))
    this.applyTo(connection)
    near.resume()
  }

  /** What one end sent before it closed may still wait for the other one. */
  private forgetClosed (connection: ProxiedConnection): void {
    if (connection.near.destroyed && connection.far.destroyed) this.connections.delete(connection)
  }

  private applyHarms (): void {
    for (const connection of this.connections) this.applyTo(connection)
  }

  private applyTo ({ from, to, there, back }: ProxiedConnection): void {
    const harms = this.harmsOn(from, to)
    const delayMs = Math.max(0, ...harms.map((harm) => harm.delayMs ?? 0))
    there.set({ isHeld: harms.some(({ holdsThere }) => holdsThere === true), delayMs })
    back.set({ isHeld: harms.some(({ holdsBack }) => holdsBack === true), delayMs })
  }

  private harmsOn (from: string, to: string): Harm[] {
    return [...this.harms].filter((harm) => harm.from(from) && harm.to(to))
  }
}

/** One address whose connections go on to a target. */
class Proxy {
  private server: Server | undefined

  constructor (readonly address: string, public target: string, private readonly onConnection: (near: Socket) => void) {}

  async listen (): Promise<void> {
    if (this.server !== undefined) return
    const server = createServer({ allowHalfOpen: true, noDelay: true }, this.onConnection)
    this.server = server
    const [host = '', port = ''] = this.address.split(':')
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), host, resolve)
    })
  }

  async close (): Promise<void> {
    const { server } = this
    this.server = undefined
    // Its connections may go on; only new ones are refused.
    server?.close()
    await Promise.resolve()
  }
}
