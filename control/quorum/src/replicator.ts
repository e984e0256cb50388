/** The task by which a leader keeps one member up to date. */
import { messageOf } from '@gullwall/core.error'
import { type MessageOf } from '@gullwall/transport.messages'
import { type QuorumMember } from './members.ts'
import { type ReplicatedLog } from './replicated-log.ts'
import { createSnapshotParts } from './snapshot-parts.ts'
import { type MemberProgress, type QuorumTiming, type QuorumTransport } from './types.ts'

/** What the task needs of the leader. */
export interface Leadership {
  readonly name: string
  readonly term: number
  readonly commitIndex: number
  readonly log: ReplicatedLog
  readonly transport: QuorumTransport
  readonly timing: QuorumTiming
  /** The length of the parts in which a snapshot is sent. */
  readonly snapshotPartBytes: number
  /** False once the term of this leadership is over. */
  isActive (): boolean
  /** A member has confirmed entries, or just that this leader leads. */
  acknowledged (): void
  /** A member has told a higher term. */
  sawTerm (term: number): void
  record (event: 'member', why: string): void
}

const MAX_CHARACTERS_PER_APPEND = 512 * 1024
/** A member that answers but has been brought no further for so long is logged, in ms. */
const STALL_LOG_MS = 3000

/** What follows an exchange: there is more to send, nothing to send, or the exchange has brought the member no further. */
type NextSend = 'more' | 'none' | 'stalled'

export class Replicator {
  /** The member is known to hold the same entries up to here. */
  matchIndex = 0
  /** When the latest request that the member answered was sent. */
  acknowledgedAt = -Infinity
  /** Always above `matchIndex`. */
  private nextIndex: number
  /** When the member was brought further, or was last not behind. */
  private gainedAt = performance.now()
  private stallLoggedAt = -Infinity
  /** Whether the member takes a snapshot in bytes; undefined until its build has answered an append. */
  private takesSnapshotParts: boolean | undefined
  private hasFailed = false
  private wakeUp: (() => void) | undefined
  private endDelay: (() => void) | undefined
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
      const next = await this.sendNext()
      if (next === 'none') await this.pause()
      // New entries do not cut this wait short: the same exchange would only be repeated at their rate.
      if (next === 'stalled') await this.delay(this.leadership.timing.heartbeatMs, { endsOnWake: false })
    }
  }

  /** Sends without waiting for the next heartbeat. */
  wake (): void {
    this.wasWoken = true
    this.wakeUp?.()
  }

  stop (): void {
    this.stopped = true
    this.wasWoken = true
    this.endDelay?.()
  }

  /** How far the member is. */
  progress (): MemberProgress {
    const now = performance.now()
    const behind = Math.max(0, this.leadership.log.lastIndex - this.matchIndex)
    return {
      member: this.peer,
      matchIndex: this.matchIndex,
      behind,
      answeredMs: this.acknowledgedAt === -Infinity ? null : Math.round(now - this.acknowledgedAt),
      stalledMs: behind === 0 ? 0 : Math.round(now - this.gainedAt)
    }
  }

  private get isWanted (): boolean {
    return !this.stopped && this.leadership.isActive()
  }

  /** Sends what comes next. */
  private async sendNext (): Promise<NextSend> {
    const { log, timing } = this.leadership
    this.wasWoken = false
    try {
      if (this.nextIndex > log.snapshotIndex) return await this.sendAppend()
      if (this.takesSnapshotParts !== undefined) return await this.sendSnapshot(this.takesSnapshotParts)
      // An append behind the end of the log is answered by every build, and tells which messages the member knows.
      this.nextIndex = log.lastIndex + 1
      return await this.sendAppend()
    } catch (error) {
      this.noteFailure(error)
      await this.delay(timing.heartbeatMs)
      return 'none'
    }
  }

  private async sendAppend (): Promise<NextSend> {
    const { transport, timing } = this.leadership
    const sentAt = performance.now()
    const message = this.appendMessage()
    const reply = await transport.call(this.member.address, message, 'appended', timing.callMs)
    this.takesSnapshotParts = reply.takesSnapshotParts === true
    this.hasFailed = false
    return this.noteReply(message, reply, sentAt)
  }

  /** Logs the first of several failures. The member may answer again as another build. */
  private noteFailure (error: unknown): void {
    this.takesSnapshotParts = undefined
    if (!this.hasFailed) this.leadership.record('member', `an exchange with ${this.peer} failed: ${messageOf(error)}`)
    this.hasFailed = true
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

  private noteReply (message: MessageOf<'append'>, reply: MessageOf<'appended'>, sentAt: number): NextSend {
    const { leadership } = this
    if (reply.term > leadership.term) {
      leadership.sawTerm(reply.term)
      return 'none'
    }
    this.acknowledgedAt = sentAt
    const hasGained = reply.ok
      ? this.noteMatch(Math.max(reply.lastIndex, message.prevIndex + message.entries.length))
      : this.noteRefusal(message.prevIndex, reply.lastIndex)
    leadership.acknowledged()
    if (this.nextIndex > leadership.log.lastIndex) {
      this.gainedAt = performance.now()
      return 'none'
    }
    if (!hasGained) this.logStall()
    return hasGained ? 'more' : 'stalled'
  }

  /** Notes that the member holds the same entries up to an index; returns whether that is news. */
  private noteMatch (index: number): boolean {
    const before = this.matchIndex
    this.matchIndex = Math.max(before, Math.min(index, this.leadership.log.lastIndex))
    this.nextIndex = this.matchIndex + 1
    if (this.matchIndex > before) this.gainedAt = performance.now()
    return this.matchIndex > before
  }

  /** Goes back behind entries that the member lacks; returns whether another exchange can bring it further. */
  private noteRefusal (prevIndex: number, lastIndex: number): boolean {
    // A member of an older build refuses entries behind its snapshot and gives its commit index, up to which it holds the same entries.
    if (lastIndex > prevIndex) return this.noteMatch(lastIndex)
    const before = this.nextIndex
    this.nextIndex = Math.max(1, Math.min(before - 1, lastIndex + 1))
    if (this.nextIndex > this.matchIndex) return this.nextIndex < before
    // Going back this far at once would let a member whose answers contradict each other keep the leader busy.
    this.leadership.record('member', `${this.peer} lacks entries from ${this.nextIndex} on, though it has confirmed them up to ${this.matchIndex}`)
    this.matchIndex = this.nextIndex - 1
    return false
  }

  private logStall (): void {
    const { behind, stalledMs } = this.progress()
    const now = performance.now()
    if (stalledMs < STALL_LOG_MS || now - this.stallLoggedAt < STALL_LOG_MS) return
    this.stallLoggedAt = now
    this.leadership.record('member', `${this.peer} answers, but has been brought no further for ${stalledMs} ms; it is ${behind} entries behind`)
  }

  private async sendSnapshot (takesBytes: boolean): Promise<NextSend> {
    const { leadership } = this
    const file = await leadership.log.readSnapshot()
    const header = { to: this.member.incarnation, term: leadership.term, leader: leadership.name }
    for (const part of createSnapshotParts({ file, header, partBytes: leadership.snapshotPartBytes, takesBytes })) {
      if (!this.isWanted) return 'none'
      const sentAt = performance.now()
      const reply = await leadership.transport.call(this.member.address, part, 'appended', leadership.timing.callMs)
      if (reply.term > leadership.term) {
        leadership.sawTerm(reply.term)
        return 'none'
      }
      this.acknowledgedAt = sentAt
      leadership.acknowledged()
    }
    leadership.record('member', `${this.peer} took the snapshot at ${file.index}: ${file.data.length} bytes ${takesBytes ? 'with their digest' : 'as text'}`)
    return this.noteMatch(file.index) ? 'more' : 'stalled'
  }

  private async pause (): Promise<void> {
    if (this.wasWoken) return
    await this.delay(this.leadership.timing.heartbeatMs)
  }

  private delay (ms: number, { endsOnWake = true } = {}): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer)
        this.wakeUp = undefined
        this.endDelay = undefined
        resolve()
      }
      const timer = setTimeout(end, ms)
      this.endDelay = end
      if (endsOnWake) this.wakeUp = end
    })
  }
}
