/**
 * The sidecars that control knows: those linked to this process, and those that
 * its peers tell of. Soft state: it is built anew from the links after a restart.
 */
import { type Member, type MessageOf } from '@gullwall/transport.messages'

export type MemberChange = MessageOf<'members'>

/** A sidecar whose link closed stays known for so long, since it may come back through a peer, in ms. */
const LEASE_MS = 3000

export class MemberTable {
  private readonly local = new Map<string, Member>()
  private readonly remote = new Map<string, Map<string, Member>>()
  private readonly leases = new Map<string, NodeJS.Timeout>()
  private readonly listeners: Array<(change: MemberChange) => void> = []
  private readonly localListeners: Array<(change: MemberChange) => void> = []

  /** Calls back at each change of what is known by any way. */
  onChange (listener: (change: MemberChange) => void): void {
    this.listeners.push(listener)
  }

  /** Calls back at each change of what is linked here, for peers. */
  onLocalChange (listener: (change: MemberChange) => void): void {
    this.localListeners.push(listener)
  }

  /** All sidecars known, by any way; what is linked here counts most. */
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

  /** A linked sidecar says what it is. */
  addLocal (member: Member): void {
    clearTimeout(this.leases.get(member.address))
    this.leases.delete(member.address)
    this.local.set(member.address, member)
    this.localChanged({ kind: 'members', whole: false, present: [member], gone: [] })
  }

  /** The link of a sidecar has closed; it is forgotten when its lease ends. */
  linkClosed (address: string): void {
    if (!this.local.has(address)) return
    clearTimeout(this.leases.get(address))
    const timer = setTimeout(() => {
      this.leases.delete(address)
      this.local.delete(address)
      this.localChanged({ kind: 'members', whole: false, present: [], gone: [address] })
    }, LEASE_MS)
    this.leases.set(address, timer)
  }

  /** A peer tells of its sidecars. */
  applyPeerChange (peer: string, message: MemberChange): void {
    const known = message.whole ? new Map<string, Member>() : this.remote.get(peer) ?? new Map<string, Member>()
    for (const member of message.present) known.set(member.address, member)
    for (const address of message.gone) known.delete(address)
    this.remote.set(peer, known)
    this.changed({ kind: 'members', whole: false, present: message.present, gone: message.gone })
  }

  stop (): void {
    for (const timer of this.leases.values()) clearTimeout(timer)
  }

  private isKnown (address: string): boolean {
    return this.local.has(address) || [...this.remote.values()].some((members) => members.has(address))
  }

  private localChanged (change: MemberChange): void {
    for (const listener of this.localListeners) listener(change)
    this.changed(change)
  }

  /** What is gone here may have come back through a peer, and the other way round. */
  private changed (change: MemberChange): void {
    const gone = change.gone.filter((address) => !this.isKnown(address))
    for (const listener of this.listeners) listener({ ...change, gone })
  }
}
