/** The links of a control process to its peers: requests of the quorum, forwarded commands, known sidecars. */
import { GullwallError } from '@gullwall/core.error'
import { type QuorumTransport } from '@gullwall/control.quorum'
import { type ControlSettings } from '@gullwall/config.settings'
import { Dialer, type Link } from '@gullwall/transport.link'
import { type Message, type MessageKind, type MessageOf } from '@gullwall/transport.messages'
import { memberAddresses, ownLinkAddress, seedAddresses } from './membership.ts'
import { type ControlServices } from './index.ts'

const MAX_BACKOFF_MS = 300
/** How often links to members that are new are begun, in ms: a process that has just joined knows some of them only by the log. */
const DIAL_MEMBERS_MS = 400
/** A peer that is frozen or cut off is found sooner than other kinds of process, since it may lead. */
const PEER_TIMING = { heartbeatMs: 1000, silenceMs: 2500, handshakeMs: 1000 }

export class ControlPeers implements QuorumTransport {
  private readonly dialers = new Map<string, Dialer>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly services: ControlServices) {}

  start (): void {
    const { settings, members } = this.services
    this.dialSeeds(settings)
    this.timer = setInterval(() => this.dialAll(memberAddresses(this.services.quorum)), DIAL_MEMBERS_MS)
    members.onLocalChange((change) => {
      for (const dialer of this.dialers.values()) dialer.link?.send(change)
    })
  }

  /** Links to the control processes that settings name. */
  dialSeeds (settings: ControlSettings): void {
    this.dialAll(seedAddresses(settings))
  }

  /** Links to further control processes. */
  dialAll (addresses: readonly string[]): void {
    const self = ownLinkAddress(this.services.settings)
    for (const address of addresses) {
      if (address !== self) this.dial(address)
    }
  }

  stop (): void {
    clearInterval(this.timer)
    for (const dialer of this.dialers.values()) dialer.stop()
  }

  /** @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED */
  async call<Kind extends MessageKind> (address: string, message: Message, expected: Kind, timeoutMs: number): Promise<MessageOf<Kind>> {
    const link = this.dial(address).link
    if (link?.isOpen !== true) throw new GullwallError('ERR_GULLWALL_LINK_CLOSED', 'no link to the peer', { step: message.kind, peer: address })
    return await link.request(message, expected, timeoutMs)
  }

  /** The open links to peers. */
  links (): Link[] {
    return [...this.dialers.values()].flatMap((dialer) => dialer.link?.isOpen === true ? [dialer.link] : [])
  }

  private dial (address: string): Dialer {
    const known = this.dialers.get(address)
    if (known !== undefined) return known
    const { settings, startId, logger, members, store, registrar, loadRelay } = this.services
    const dialer = new Dialer(address, {
      local: { role: 'control', name: settings.member, startId, dataCentre: settings.dataCentre },
      sharedKey: settings.linkKey,
      logger,
      maxBackoffMs: MAX_BACKOFF_MS,
      revision: () => store.revision,
      timing: PEER_TIMING,
      onOpen: (link) => {
        link.send({ kind: 'members', whole: true, present: members.localMembers(), gone: [] })
        registrar.sendAllLeases(link)
        loadRelay.sendSnapshot(link)
      },
      onMessage: () => {},
      onClose: () => {}
    })
    this.dialers.set(address, dialer)
    return dialer
  }
}
