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
  private readonly listeners: Array<(change: MemberChange, isLocal: boolean) => void> = []

  onChange (listener: (change: MemberChange, isLocal: boolean) => void): void {
    this.listeners.push(listener)
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

  locals (): Member[] {
    return [...this.local.values()]
  }

  /** A linked sidecar says what it is. */
  announce (member: Member): void {
    clearTimeout(this.leases.get(member.address))
    this.leases.delete(member.address)
    this.local.set(member.address, member)
    this.changed({ kind: 'members', whole: false, present: [member], gone: [] }, true)
  }

  /** The link of a sidecar has closed; it is forgotten when its lease ends. */
  linkClosed (address: string): void {
    if (!this.local.has(address)) return
    clearTimeout(this.leases.get(address))
    const timer = setTimeout(() => {
      this.leases.delete(address)
      this.local.delete(address)
      this.changed({ kind: 'members', whole: false, present: [], gone: [address] }, true)
    }, LEASE_MS)
    this.leases.set(address, timer)
  }

  /** A peer tells of its sidecars. */
  learn (peer: string, message: MemberChange): void {
    const known = message.whole ? new Map<string, Member>() : this.remote.get(peer) ?? new Map<string, Member>()
    for (const member of message.present) known.set(member.address, member)
    for (const address of message.gone) known.delete(address)
    this.remote.set(peer, known)
    const gone = message.gone.filter((address) => !this.isKnown(address))
    this.changed({ kind: 'members', whole: false, present: message.present, gone }, false)
  }

  stop (): void {
    for (const timer of this.leases.values()) clearTimeout(timer)
  }

  private isKnown (address: string): boolean {
    return this.local.has(address) || [...this.remote.values()].some((members) => members.has(address))
  }

  private changed (change: MemberChange, isLocal: boolean): void {
    for (const listener of this.listeners) listener(change, isLocal)
  }
}
