import { createServer, type Server } from 'node:http'
import { connect, createServer as createTcpServer, type Socket } from 'node:net'
import { type AddressInfo } from 'node:net'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { Packr } from 'msgpackr'
import { WebSocket } from 'ws'
import { silentLogger } from '@gullwall/core.logger'
import { Dialer, LinkAcceptor, type DialOptions, type Link, type LinkOptions } from '@gullwall/transport.link'

const KEY = 'a-shared-key-of-some-length'
const packr = new Packr({ useRecords: false })

function optionsFor (name: string, more: Partial<DialOptions> = {}): LinkOptions {
  return {
    local: { role: 'entry', name, startId: `start-${name}`, dataCentre: 'east' },
    sharedKey: KEY,
    logger: silentLogger(),
    revision: () => 7,
    onOpen: () => {},
    onMessage: () => {},
    onClose: () => {},
    ...more
  }
}

describe('a link', () => {
  let server: Server
  let acceptor: LinkAcceptor
  let dialer: Dialer | undefined

  async function accept (more: Partial<LinkOptions> = {}): Promise<string> {
    server = createServer()
    acceptor = new LinkAcceptor(server, optionsFor('accepting', more))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  afterEach(async () => {
    dialer?.stop()
    acceptor.stop()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  function dial (address: string, more: Partial<DialOptions> = {}): Promise<Link> {
    return new Promise((resolve) => { dialer = new Dialer(address, optionsFor('dialling', { onOpen: resolve, ...more })) })
  }

  it('that was about to open when its acceptor stopped does not keep the server from closing', async () => {
    const address = await accept()
    let stopped: Promise<void> | undefined
    server.once('upgrade', () => setImmediate(() => {
      acceptor.stop()
      stopped = new Promise((resolve) => server.close(() => resolve()))
    }))
    let opened = 0
    dialer = new Dialer(address, optionsFor('dialling', { onOpen: () => { opened += 1 } }))
    await vi.waitUntil(() => stopped !== undefined)
    await stopped
    expect(opened).toBe(0)
    // Closes at once in the clean-up.
    await accept()
  })

  it('opens, answers requests and passes failures on with their code', async () => {
    const address = await accept({ onRequest: async (_link, message) => message.kind === 'confirm' ? { kind: 'confirmed', revision: 9 } : Promise.reject(new Error('no')) })
    const link = await dial(address)
    expect(link.peer).toMatchObject({ name: 'accepting', startId: 'start-accepting' })
    expect(await link.request({ kind: 'confirm' }, 'confirmed')).toEqual({ kind: 'confirmed', revision: 9 })
    await expect(link.request({ kind: 'readIndex' }, 'done')).rejects.toMatchObject({ code: 'ERR_GULLWALL_PEER_FAILED', peer: `accepting@${address}` })
  })

  it('opens soon although the first try meets silence, as that of a machine which is starting', async () => {
    const [host = '', port = ''] = (await accept()).split(':')
    const silent: Socket[] = []
    const front = createTcpServer((socket) => {
      if (silent.length === 0) silent.push(socket)
      else socket.pipe(connect(Number(port), host)).pipe(socket)
    })
    await new Promise<void>((resolve) => front.listen(0, '127.0.0.1', resolve))
    const startedAt = performance.now()
    await dial(`127.0.0.1:${(front.address() as AddressInfo).port}`, { timing: { heartbeatMs: 1000, silenceMs: 60_000, handshakeMs: 20_000 } })
    expect(performance.now() - startedAt).toBeLessThan(5000)
    front.close()
  })

  it('does not open for a peer without the key', async () => {
    const address = await accept()
    const why = await new Promise<string>((resolve) => {
      dialer = new Dialer(address, optionsFor('stranger', { sharedKey: 'another-key-of-some-length', onClose: (_link, reason) => resolve(reason) }))
    })
    expect(why).toMatch(/refused|closed/)
    expect(acceptor.links.size).toBe(0)
  })

  it('dials again after the peer was lost', async () => {
    const address = await accept()
    let opened = 0
    await new Promise<void>((resolve) => {
      dialer = new Dialer(address, optionsFor('dialling', {
        onOpen: () => {
          opened += 1
          if (opened === 2) resolve()
          else for (const link of acceptor.links) link.close('lost')
        }
      }))
      // The accepting end may open a moment later than the dialling one.
      const timer = setInterval(() => {
        if (opened !== 1) { clearInterval(timer); return }
        for (const link of acceptor.links) link.close('lost')
      }, 5)
    })
    expect(opened).toBe(2)
  })

  it('closes on malformed messages and counts unknown ones', async () => {
    const closed: string[] = []
    const address = await accept({ onClose: (_link, why) => closed.push(why) })
    const link = await dial(address)
    link.send({ kind: 'of a later version' } as never)
    link.send({ kind: 'pass' } as never)
    await new Promise<void>((resolve) => {
      const timer = setInterval(() => { if (closed.length > 0) { clearInterval(timer); resolve() } }, 5)
    })
    expect(closed[0]).toContain('malformed')
  })

  it('closes on bytes that are no message', async () => {
    let why = ''
    const address = await accept({ onClose: (_link, reason) => { why = reason } })
    const socket = new WebSocket(`ws://${address}/link`)
    await new Promise((resolve) => socket.once('open', resolve))
    socket.send(packr.pack({ protocol: 1 }))
    await new Promise((resolve) => socket.once('close', resolve))
    expect(why).toContain('no identity')
  })
})
