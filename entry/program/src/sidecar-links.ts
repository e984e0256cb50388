/** The links of an entry to sidecars: one dialler for each box that control knows. */
import { Pool } from 'undici'
import { type Ran, type Tier } from '@gullwall/core.types'
import { createPool } from '@gullwall/endpoint.http'
import { type Grant, type SidecarPort } from '@gullwall/routing.dispatcher'
import { Dialer, type Link } from '@gullwall/transport.link'
import { type DemandRow, type Member, type Message, type MessageOf } from '@gullwall/transport.messages'
import { type EntryServices } from './index.ts'

const REVOKE_TIMEOUT_MS = 2000

/** One linked sidecar process. */
class LinkedSidecar implements SidecarPort {
  constructor (private readonly link: Link, readonly address: string) {}

  get name (): string { return this.link.peer.name }
  get startId (): string { return this.link.peer.startId }
  get dataCentre (): string { return this.link.peer.dataCentre }

  sendDemand (rows: DemandRow[]): void {
    this.link.send({ kind: 'demand', rows })
  }

  sendPass (offerId: string): void {
    this.link.send({ kind: 'pass', offerId })
  }

  sendPreempt (endpoint: string, className: string, tier: Tier): void {
    this.link.send({ kind: 'preempt', endpoint, class: className, tier })
  }

  /** Forbids an attempt to start, unless it has. */
  async revoke (attemptId: string): Promise<Ran> {
    try {
      const { state } = await this.link.request({ kind: 'revoke', attemptId }, 'revoked', REVOKE_TIMEOUT_MS)
      return state === 'never-started' ? 'no' : 'partly'
    } catch {
      return 'unknown'
    }
  }
}

export class SidecarLinks {
  private readonly dialers = new Map<string, Dialer>()
  private readonly ports = new Map<Link, LinkedSidecar>()
  private readonly pools = new Map<string, Pool>()

  constructor (private readonly services: EntryServices) {}

  get linkCount (): number {
    return this.ports.size
  }

  /** Takes what control says of the sidecars. A link that works is kept even if control has lost sight of its box. */
  update (message: MessageOf<'members'>): void {
    for (const member of message.present) this.dial(member)
    const gone = message.whole
      ? [...this.dialers.keys()].filter((address) => !message.present.some((member) => member.address === address))
      : message.gone
    for (const address of gone) this.dropIfClosed(address)
  }

  async stop (): Promise<void> {
    for (const dialer of this.dialers.values()) dialer.stop()
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()))
  }

  /** The connections to a sidecar's HTTP server. */
  poolOf (address: string): Pool {
    let pool = this.pools.get(address)
    if (pool === undefined) {
      pool = createPool(address)
      this.pools.set(address, pool)
    }
    return pool
  }

  async revoke (grant: Grant, attemptId: string): Promise<Ran> {
    return await (grant.sidecar as LinkedSidecar).revoke(attemptId)
  }

  private dial (member: Member): void {
    if (this.dialers.has(member.address)) return
    const { settings, startId, logger, store, spreader } = this.services
    const dialer = new Dialer(member.address, {
      local: { role: 'entry', name: settings.box, startId, dataCentre: settings.dataCentre },
      sharedKey: settings.linkKey,
      logger,
      revision: () => store.revision,
      onOpen: (link) => {
        this.ports.set(link, new LinkedSidecar(link, member.address))
        spreader.opened(link)
      },
      onMessage: (link, message) => this.receive(link, message),
      onClose: (link) => this.closed(link)
    })
    this.dialers.set(member.address, dialer)
  }

  private receive (link: Link, message: Message): void {
    const { spreader, dispatcher } = this.services
    const port = this.ports.get(link)
    if (port === undefined || spreader.receive(link, message)) return
    switch (message.kind) {
      case 'endpoints': dispatcher.setEndpoints(port, message.endpoints, message.leaving); break
      case 'load': dispatcher.updateLoad(port, message.endpoints); break
      case 'offer': dispatcher.handleOffer(port, message); break
    }
  }

  private closed (link: Link): void {
    const port = this.ports.get(link)
    if (port === undefined) return
    this.ports.delete(link)
    this.services.spreader.closed(link)
    this.services.dispatcher.removeSidecar(port)
  }

  private dropIfClosed (address: string): void {
    const dialer = this.dialers.get(address)
    if (dialer === undefined || dialer.link?.isOpen === true) return
    dialer.stop()
    this.dialers.delete(address)
    const pool = this.pools.get(address)
    this.pools.delete(address)
    // Streams that still run keep their connections until they end.
    void pool?.close()
  }
}
