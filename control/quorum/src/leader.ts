/** What a member does while it leads: replicate, commit, confirm reads, change the membership. */
import { type LogEntry } from '@gullwall/transport.messages'
import { type GullwallError } from '@gullwall/core.error'
import { membershipData, NOOP_DATA } from './entry-data.ts'
import { isVoter, majority, othersOf, promoted, withLearner, withoutMember, withoutVoter, type Membership, type QuorumMember } from './members.ts'
import { type QuorumNode } from './quorum-node.ts'
import { Replicator, type Leadership } from './replicator.ts'
import { type Applied, type MemberProgress, type QuorumTiming, type QuorumTransport } from './types.ts'
import { type ReplicatedLog } from './replicated-log.ts'

interface PendingProposal {
  resolve: (applied: Applied) => void
  reject: (error: GullwallError) => void
}

interface PendingRead {
  since: number
  index: number
  resolve: (index: number) => void
  reject: (error: GullwallError) => void
  timer: NodeJS.Timeout
}

/** A learner this close to the end of the log becomes a voter. */
const CAUGHT_UP_ENTRIES = 16
/** A voter that has not answered for so long gives its place to a learner that waits for one, in ms. */
const VOTER_LOST_MS = 3000
/** Well below what a link carries in one message. */
const DEFAULT_SNAPSHOT_PART_BYTES = 512 * 1024

export class Leader implements Leadership {
  private readonly replicators = new Map<string, Replicator>()
  private readonly proposals = new Map<number, PendingProposal>()
  private reads: PendingRead[] = []
  private readonly noopIndex: number
  private readonly startedAt = performance.now()
  private isFlushing = false
  private active = true

  constructor (private readonly node: QuorumNode, readonly term: number) {
    this.noopIndex = this.log.add(term, NOOP_DATA).index
    this.adjustReplicators()
    void this.flush()
  }

  get name (): string { return this.node.name }
  get log (): ReplicatedLog { return this.node.log }
  get commitIndex (): number { return this.node.commitIndex }
  get transport (): QuorumTransport { return this.node.options.transport }
  get timing (): QuorumTiming { return this.node.timing }
  get snapshotPartBytes (): number { return this.node.options.snapshotPartBytes ?? DEFAULT_SNAPSHOT_PART_BYTES }

  isActive (): boolean {
    return this.active
  }

  /** Whether a majority of voters has answered lately. */
  hasQuorum (): boolean {
    const now = performance.now()
    if (now - this.startedAt < this.timing.electionMs) return true
    return this.countVoters((peer) => now - peer.acknowledgedAt < this.timing.electionMs) >= majority(this.node.membership)
  }

  propose (data: string): Promise<Applied> {
    const entry = this.log.add(this.term, data)
    return new Promise((resolve, reject) => {
      this.proposals.set(entry.index, { resolve, reject })
      this.wakeAll()
      void this.flush()
    })
  }

  async confirmRead (): Promise<number> {
    if (this.commitIndex < this.noopIndex) throw this.node.error('ERR_GULLWALL_NO_QUORUM', 'read', 'this leader has not committed in its term yet')
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.reads = this.reads.filter((read) => read.timer !== timer)
        reject(this.node.error('ERR_GULLWALL_NO_QUORUM', 'read', 'no quorum has confirmed this leader in time'))
      }, this.timing.callMs)
      this.reads.push({ since: performance.now(), index: this.commitIndex, resolve, reject, timer })
      this.settleReads()
      this.wakeAll()
    })
  }

  async addMember (name: string, address: string): Promise<void> {
    const reply = await this.transport.call(address, { kind: 'whoAreYou' }, 'iAm', this.timing.callMs)
    const { membership } = this.node
    const known = membership.voters[name] ?? membership.learners[name]
    if (known?.incarnation === reply.incarnation) return
    if (known !== undefined) throw this.node.error('ERR_GULLWALL_MEMBER_EXISTS', 'add member', `${name} is a member with another disk; remove it first`)
    await this.changeMembership(withLearner(membership, name, { address, incarnation: reply.incarnation }))
  }

  async admit (name: string, member: QuorumMember): Promise<void> {
    const { membership } = this.node
    const known = membership.learners[name] ?? membership.voters[name]
    if (known?.incarnation === member.incarnation && known.address === member.address) return
    await this.changeMembership(withLearner(membership, name, member))
  }

  async removeMember (name: string): Promise<void> {
    const { membership } = this.node
    if (membership.voters[name] === undefined && membership.learners[name] === undefined) {
      throw this.node.error('ERR_GULLWALL_NO_SUCH_MEMBER', 'remove member', `${name} is not a member`)
    }
    if (Object.keys(membership.voters).length === 1 && membership.voters[name] !== undefined) {
      throw this.node.error('ERR_GULLWALL_LAST_VOTER', 'remove member', `${name} is the last voter`)
    }
    await this.changeMembership(withoutMember(membership, name))
  }

  /** Asks the voter that is furthest to take over, and waits until it leads. */
  async handOver (): Promise<void> {
    const best = this.voterReplicators().sort((left, right) => right.matchIndex - left.matchIndex)[0]
    if (best === undefined || best.matchIndex < this.commitIndex) return
    this.node.record('handover', `to ${best.peer}`)
    try {
      await this.transport.call(best.member.address, { kind: 'takeOver', to: best.member.incarnation, term: this.term }, 'done', this.timing.callMs)
    } catch {
      return
    }
    const POLL_MS = 10
    for (let waited = 0; this.active && waited < this.timing.callMs; waited += POLL_MS) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
  }

  /** Ends the leadership; what was proposed may still come to be accepted. */
  end (why: string): void {
    this.active = false
    for (const { reject } of this.proposals.values()) reject(this.node.error('ERR_GULLWALL_OUTCOME_UNKNOWN', 'propose', why))
    this.proposals.clear()
    for (const { reject, timer } of this.reads) {
      clearTimeout(timer)
      reject(this.node.error('ERR_GULLWALL_NOT_LEADER', 'read', why))
    }
    this.reads = []
    for (const replicator of this.replicators.values()) replicator.stop()
  }

  applied (entry: LogEntry, result: string): void {
    this.proposals.get(entry.index)?.resolve({ index: entry.index, result })
    this.proposals.delete(entry.index)
  }

  acknowledged (): void {
    if (!this.active) return
    this.advanceCommit()
    this.settleReads()
    this.promoteLearners()
  }

  /** How far the other members are. */
  replication (): MemberProgress[] {
    return [...this.replicators.values()].map((replicator) => replicator.progress())
  }

  record (event: 'member', why: string): void {
    this.node.record(event, why)
  }

  sawTerm (term: number): void {
    void this.node.lock.run(async () => await this.node.adoptTerm(term))
  }

  /** Group commit: while one sync runs, further entries gather for the next. */
  private async flush (): Promise<void> {
    if (this.isFlushing) return
    this.isFlushing = true
    while (this.active && this.log.syncedIndex < this.log.lastIndex) {
      try {
        await this.node.lock.run(async () => {
          if (this.active) await this.log.sync()
        })
      } catch (error) {
        this.node.diskFailed(error)
      }
      this.advanceCommit()
    }
    this.isFlushing = false
  }

  /** Commits entries of this term that a majority has synced, and with them all before. */
  private advanceCommit (): void {
    if (!this.active) return
    const { membership } = this.node
    for (let index = this.log.lastIndex; index > this.commitIndex && this.log.termAt(index) === this.term; index--) {
      const holders = this.countVoters((peer) => peer.matchIndex >= index, this.log.syncedIndex >= index)
      if (holders < majority(membership)) continue
      this.node.commitTo(index)
      // Followers put it in force now, not with the next heartbeat.
      this.wakeAll()
      this.leaveIfRemoved()
      return
    }
  }

  private leaveIfRemoved (): void {
    const isIn = isVoter(this.node.membership, this.name, this.node.vote.incarnation)
    if (!isIn && this.log.membershipIndex <= this.commitIndex) this.node.stepDown('removed from the quorum')
  }

  private settleReads (): void {
    const needed = majority(this.node.membership)
    this.reads = this.reads.filter((read) => {
      if (this.countVoters((peer) => peer.acknowledgedAt >= read.since) < needed) return true
      clearTimeout(read.timer)
      read.resolve(read.index)
      return false
    })
  }

  private countVoters (holds: (peer: Replicator) => boolean, holdsItself = true): number {
    const selfVotes = isVoter(this.node.membership, this.name, this.node.vote.incarnation)
    return this.voterReplicators().filter(holds).length + (selfVotes && holdsItself ? 1 : 0)
  }

  private voterReplicators (): Replicator[] {
    const { voters } = this.node.membership
    return [...this.replicators.values()].filter(({ peer, member }) => voters[peer]?.incarnation === member.incarnation)
  }

  private async changeMembership (membership: Membership): Promise<void> {
    if (this.log.membershipIndex > this.commitIndex || this.commitIndex < this.noopIndex) {
      throw this.node.error('ERR_GULLWALL_MEMBERSHIP_CHANGING', 'change members', 'another change is under way; try again')
    }
    const done = this.propose(membershipData(membership))
    this.adjustReplicators()
    await done
  }

  private promoteLearners (): void {
    const isFree = this.log.membershipIndex <= this.commitIndex && this.commitIndex >= this.noopIndex
    if (!isFree) return
    const next = Object.keys(this.node.membership.learners).find((name) => this.hasCaughtUp(name))
    if (next === undefined) return
    const membership = this.membershipWith(next)
    // A failure leaves the learner as it is; the next answer of a peer tries again.
    if (membership !== undefined) this.changeMembership(membership).catch(() => {})
  }

  private hasCaughtUp (name: string): boolean {
    const match = this.replicators.get(name)?.matchIndex ?? 0
    return match + CAUGHT_UP_ENTRIES >= this.log.lastIndex && match >= this.noopIndex
  }

  /** The membership by which a learner becomes a voter, or makes room for it; none while every voter's place is in use. */
  private membershipWith (learner: string): Membership | undefined {
    const { membership, options } = this.node
    const { voters } = membership
    // Under its own name it takes the place of a disk that was lost, and that can never vote again.
    if (voters[learner] !== undefined) return promoted(membership, learner)
    if (Object.keys(voters).length < (options.targetVoters ?? Infinity)) return promoted(membership, learner)
    const lost = this.longestSilentVoter()
    return lost === undefined ? undefined : withoutVoter(membership, lost)
  }

  private longestSilentVoter (): string | undefined {
    const now = performance.now()
    if (now - this.startedAt < VOTER_LOST_MS) return undefined
    const { voters } = this.node.membership
    const silent = Object.keys(voters).filter((name) => name !== this.name).map((name) => {
      const replicator = this.replicators.get(name)
      const isCurrent = replicator?.member.incarnation === voters[name]?.incarnation
      return { name, heardAt: isCurrent ? replicator?.acknowledgedAt ?? -Infinity : -Infinity }
    }).filter(({ heardAt }) => now - heardAt > VOTER_LOST_MS)
    return silent.sort((left, right) => left.heardAt - right.heardAt)[0]?.name
  }

  /** One task for each other member; those of removed members end. */
  private adjustReplicators (): void {
    const wanted = new Map(othersOf(this.node.membership, this.name).map((other) => [other.name, other.member]))
    for (const [name, replicator] of this.replicators) {
      if (wanted.get(name)?.incarnation === replicator.member.incarnation) continue
      replicator.stop()
      this.replicators.delete(name)
    }
    for (const [name, member] of wanted) {
      if (this.replicators.has(name)) continue
      const replicator = new Replicator(name, member, this)
      this.replicators.set(name, replicator)
      void replicator.run()
    }
  }

  private wakeAll (): void {
    for (const replicator of this.replicators.values()) replicator.wake()
  }
}
