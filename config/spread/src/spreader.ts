/**
 * Exchanges revisions on links. Heartbeats carry each side's revision; the side
 * that is ahead sends the rest. New revisions are pushed at once.
 */
import { type Link } from '@gullwall/transport.link'
import { type Message, type Revision } from '@gullwall/transport.messages'
import { type RevisionStore } from './revision-store.ts'

/** What was sent and not yet confirmed by a heartbeat is sent again after this time, in ms. */
const RESEND_MS = 1500
const MAX_REVISIONS_PER_MESSAGE = 200
const MAX_SNAPSHOT_BYTES_PER_MESSAGE = 512 * 1024

interface LinkState {
  /** The revision the peer said it has in force. */
  peerRevision: number
  sentRevision: number
  sentAt: number
  /** Whether a push waits. */
  isWaiting: boolean
}

export interface SpreaderOptions {
  /** Whether revisions are taken from peers; control takes them from its log only. */
  takes: boolean
  /**
   * How long a push over a link may wait, in ms, because the peer probably gets the same over a nearer link; nothing is
   * sent then if the peer says so in the meantime. No push waits unless this is given.
   */
  delayMs?: (link: Link) => number
  /** When to push: by default once for all revisions that come in force together. */
  schedule?: (push: () => void) => void
}

export class Spreader {
  private readonly links = new Map<Link, LinkState>()
  private isScheduled = false

  constructor (private readonly store: RevisionStore, private readonly options: SpreaderOptions) {
    store.onChange(() => this.schedulePush())
  }

  opened (link: Link): void {
    this.links.set(link, { peerRevision: -1, sentRevision: 0, sentAt: -Infinity, isWaiting: false })
  }

  closed (link: Link): void {
    this.links.delete(link)
  }

  /** The revision that each linked process said it has in force. */
  inForce (): Array<{ process: string, revision: number }> {
    return [...this.links].filter(([, state]) => state.peerRevision >= 0).map(([link, state]) => ({
      process: `${link.peer.role}/${link.peer.name}`, revision: state.peerRevision
    }))
  }

  /** Handles a message if it is one of the spreader's; false if it is not. */
  receive (link: Link, message: Message): boolean {
    switch (message.kind) {
      case 'heartbeat': {
        const state = this.links.get(link)
        if (state === undefined) return true
        state.peerRevision = message.revision
        this.bring(link, state)
        return true
      }
      case 'revisions':
        if (this.options.takes) this.store.applyFrom(message.base, message.revisions)
        return true
      case 'snapshot':
        if (this.options.takes) this.store.applySnapshotPart(message)
        return true
      default:
        return false
    }
  }

  private schedulePush (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    const schedule = this.options.schedule ?? setImmediate
    schedule(() => {
      this.isScheduled = false
      this.pushAll()
    })
  }

  private pushAll (): void {
    for (const [link, state] of this.links) {
      // Saying the own revision first spares the peer from sending it back.
      link.send({ kind: 'heartbeat', revision: this.store.revision })
      if (state.peerRevision >= 0) this.bring(link, state)
    }
  }

  /**
   * Sends what a peer lacks, at once or once a nearer link has had its time. Also a peer that has just started and holds
   * nothing is told the whole over one link, and not over each of its links.
   */
  private bring (link: Link, state: LinkState): void {
    const delayMs = this.options.delayMs?.(link) ?? 0
    if (delayMs === 0) this.bringUpToDate(link, state)
    else this.bringUpToDateLater(link, state, delayMs)
  }

  private bringUpToDateLater (link: Link, state: LinkState, delayMs: number): void {
    if (state.isWaiting || state.peerRevision >= this.store.revision) return
    state.isWaiting = true
    setTimeout(() => {
      state.isWaiting = false
      if (this.links.get(link) === state) this.bringUpToDate(link, state)
    }, delayMs)
  }

  private bringUpToDate (link: Link, state: LinkState): void {
    const known = Math.max(state.peerRevision, performance.now() - state.sentAt < RESEND_MS ? state.sentRevision : 0)
    if (known >= this.store.revision) return
    const revisions = this.store.since(known)
    if (revisions === undefined) this.sendSnapshot(link)
    else this.sendRevisions(link, known, revisions)
    state.sentRevision = this.store.revision
    state.sentAt = performance.now()
  }

  private sendRevisions (link: Link, base: number, revisions: Revision[]): void {
    let before = base
    for (let start = 0; start < revisions.length; start += MAX_REVISIONS_PER_MESSAGE) {
      const part = revisions.slice(start, start + MAX_REVISIONS_PER_MESSAGE)
      link.send({ kind: 'revisions', base: before, revisions: part })
      before = part.at(-1)?.revision ?? before
    }
  }

  private sendSnapshot (link: Link): void {
    const { revision, records } = this.store
    let part = 0
    let entries: Array<[string, string]> = []
    let bytes = 0
    const send = (last: boolean) => {
      link.send({ kind: 'snapshot', revision, part, last, entries })
      part += 1
      entries = []
      bytes = 0
    }
    for (const [key, value] of records.entries()) {
      entries.push([key, value])
      bytes += key.length + value.length
      if (bytes >= MAX_SNAPSHOT_BYTES_PER_MESSAGE) send(false)
    }
    send(true)
  }
}
