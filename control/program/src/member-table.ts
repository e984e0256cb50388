/**
 * The sidecars that this control process knows: those linked to this process and those that its peers report. The table is not
 * stored. After a restart it is rebuilt from the links.
 */
import { type Member, type MessageOf } from '@gullwall/transport.messages'

export type MemberChange = MessageOf<'members'>

/** Time for which a sidecar stays known after its link closed, in ms. The sidecar may connect to a peer within this time. */
const RECONNECT_TIMEOUT_MS = 3000

export class MemberTable {
  private readonly local = new Map<string, Member>()
  private readonly remote = new Map<string, Map<string, Member>>()
  private readonly timers = new Map<string, NodeJS.Timeout>()
  private readonly listeners: Array<(change: MemberChange) => void> = []
  private readonly localListeners: Array<(change: MemberChange) => void> = []

  /** Adds a listener for changes of all known sidecars. */
  onChange (listener: (change: MemberChange) => void): void {
    this.listeners.push(listener)
  }

  /** Adds a listener for changes of the sidecars that are linked to this process. Peers receive these changes. */
  onLocalChange (listener: (change: MemberChange) => void): void {
    this.localListeners.push(listener)
  }

  /** Returns all known sidecars. The data of a sidecar that is linked here takes precedence over the report of a peer. */
  all (): Member[] {
    const known = new Map<string, Member>()
    for (const members of this.remote.values()) {
      for (const [address, member] of members) known.set(address, member)
    }
    for (const [address, member] of this.local) known.set(address, member)
    return [...known.values()]
  }

  localMembers (): Member[] {
    return [...this.local.values()]
  }

  /** Adds or updates a sidecar that is linked to this process. */
  addLocal (member: Member): void {
    clearTimeout(this.timers.get(member.address))
    this.timers.delete(member.address)
    this.local.set(member.address, member)
    this.localChanged({ kind: 'members', whole: false, present: [member], gone: [] })
  }

  /** Starts the timeout after which a sidecar whose link closed is removed. */
  linkClosed (address: string): void {
    if (!this.local.has(address)) return
    clearTimeout(this.timers.get(address))
    const timer = setTimeout(() => {
      this.timers.delete(address)
      this.local.delete(address)
      this.localChanged({ kind: 'members', whole: false, present: [], gone: [address] })
    }, RECONNECT_TIMEOUT_MS)
    this.timers.set(address, timer)
  }

  /** Applies the message of a peer about its sidecars. */
  applyPeerChange (peer: string, message: MemberChange): void {
    const known = message.whole ? new Map<string, Member>() : this.remote.get(peer) ?? new Map<string, Member>()
    for (const member of message.present) known.set(member.address, member)
    for (const address of message.gone) known.delete(address)
    this.remote.set(peer, known)
    this.changed({ kind: 'members', whole: false, present: message.present, gone: message.gone })
  }

  stop (): void {
    for (const timer of this.timers.values()) clearTimeout(timer)
  }

  private isMember (address: string): boolean {
    return this.local.has(address) || [...this.remote.values()].some((members) => members.has(address))
  }

  private localChanged (change: MemberChange): void {
    for (const listener of this.localListeners) listener(change)
    this.changed(change)
  }

  /** Notifies the listeners. A sidecar is reported as gone only if neither this process nor a peer has a link to it. */
  private changed (change: MemberChange): void {
    const gone = change.gone.filter((address) => !this.isMember(address))
    for (const listener of this.listeners) listener({ ...change, gone })
  }
}
