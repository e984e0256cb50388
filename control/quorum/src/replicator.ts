/** The task by which a leader keeps one member up to date. */
import { type MessageOf } from '@gullwall/transport.messages'
import { type QuorumMember } from './members.ts'
import { type ReplicatedLog } from './replicated-log.ts'
import { type QuorumTiming, type QuorumTransport } from './types.ts'

/** What the task needs of the leader. */
export interface Leadership {
  readonly name: string
  readonly term: number
  readonly commitIndex: number
  readonly log: ReplicatedLog
  readonly transport: QuorumTransport
  readonly timing: QuorumTiming
  /** False once the term of this leadership is over. */
  isActive (): boolean
  /** A member has confirmed entries, or just that this leader leads. */
  acknowledged (): void
  /** A member has told a higher term. */
  sawTerm (term: number): void
}

const MAX_CHARACTERS_PER_APPEND = 512 * 1024
const SNAPSHOT_PART_CHARACTERS = 512 * 1024

export class Replicator {
  /** The member is known to hold the same entries up to here. */
  matchIndex = 0
  /** When the latest request that the member answered was sent. */
  acknowledgedAt = -Infinity
  private nextIndex: number
  private wakeUp: (() => void) | undefined
  private wasWoken = false
  private stopped = false

  constructor (
    readonly peer: string,
    readonly member: QuorumMember,
    private readonly leadership: Leadership
  ) {
    this.nextIndex = leadership.log.lastIndex + 1
  }

  /** Runs until the leadership is over or the member is removed. */
  async run (): Promise<void> {
    while (this.isWanted) {
      const isBehind = await this.sendNext()
      if (!isBehind) await this.pause()
    }
  }

  /** Sends without waiting for the next heartbeat. */
  wake (): void {
    this.wasWoken = true
    this.wakeUp?.()
  }

  stop (): void {
    this.stopped = true
    this.wake()
  }

  private get isWanted (): boolean {
    return !this.stopped && this.leadership.isActive()
  }

  /** Sends what comes next; true if there is more to send at once. */
  private async sendNext (): Promise<boolean> {
    const { log, transport, timing } = this.leadership
    this.wasWoken = false
    const sentAt = performance.now()
    try {
      if (this.nextIndex <= log.snapshotIndex) return await this.sendSnapshot()
      const message = this.appendMessage()
      const reply = await transport.call(this.member.address, message, 'appended', timing.callMs)
      return this.noteReply(message, reply, sentAt)
    } catch {
      await this.delay(timing.heartbeatMs)
      return false
    }
  }

  private appendMessage (): MessageOf<'append'> {
    const { log, name, term, commitIndex } = this.leadership
    const prevIndex = this.nextIndex - 1
    return {
      kind: 'append',
      to: this.member.incarnation,
      term,
      leader: name,
      prevIndex,
      prevTerm: log.termAt(prevIndex) ?? 0,
      commit: commitIndex,
      entries: log.slice(this.nextIndex, MAX_CHARACTERS_PER_APPEND)
    }
  }

  private noteReply (message: MessageOf<'append'>, reply: MessageOf<'appended'>, sentAt: number): boolean {
    const { leadership } = this
    if (reply.term > leadership.term) {
      leadership.sawTerm(reply.term)
      return false
    }
    this.acknowledgedAt = sentAt
    if (!reply.ok) {
      this.nextIndex = Math.max(1, Math.min(this.nextIndex - 1, reply.lastIndex + 1))
      leadership.acknowledged()
      return true
    }
    this.matchIndex = Math.max(this.matchIndex, message.prevIndex + message.entries.length)
    this.nextIndex = this.matchIndex + 1
    leadership.acknowledged()
    return this.nextIndex <= leadership.log.lastIndex
  }

  private async sendSnapshot (): Promise<boolean> {
    const { leadership } = this
    const text = await leadership.log.snapshotText()
    const { index } = JSON.parse(text) as { index: number }
    for (let offset = 0; offset < text.length && this.isWanted; offset += SNAPSHOT_PART_CHARACTERS) {
      const sentAt = performance.now()
      const reply = await leadership.transport.call(this.member.address, {
        kind: 'install',
        to: this.member.incarnation,
        term: leadership.term,
        leader: leadership.name,
        offset,
        last: offset + SNAPSHOT_PART_CHARACTERS >= text.length,
        data: text.slice(offset, offset + SNAPSHOT_PART_CHARACTERS)
      }, 'appended', leadership.timing.callMs)
      if (reply.term > leadership.term) {
        leadership.sawTerm(reply.term)
        return false
      }
      this.acknowledgedAt = sentAt
      leadership.acknowledged()
    }
    this.matchIndex = Math.max(this.matchIndex, index)
    this.nextIndex = this.matchIndex + 1
    return true
  }

  private async pause (): Promise<void> {
    if (this.wasWoken) return
    await this.delay(this.leadership.timing.heartbeatMs)
  }

  private delay (ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms)
      this.wakeUp = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }
}
