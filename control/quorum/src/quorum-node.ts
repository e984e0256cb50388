/**
 * One member of the quorum. Entries, terms and votes are synced before they are
 * answered. Everything that touches the disk runs under one lock; one task for
 * each peer replicates, and one watches for elections.
 */
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type Logger, type QuorumRecord } from '@gullwall/core.logger'
import { type Disk } from '@gullwall/control.storage'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { DurableVote } from './durable-vote.ts'
import { campaign } from './election.ts'
import { ElectionTimer } from './election-timer.ts'
import { commandData, parseData } from './entry-data.ts'
import { found } from './founding.ts'
import { IncomingSnapshot } from './incoming-snapshot.ts'
import { Leader } from './leader.ts'
import { Lock } from './lock.ts'
import { isVoter, NO_MEMBERS, type Membership, type QuorumMember } from './members.ts'
import { ReplicatedLog, type Snapshot } from './replicated-log.ts'
import { type SnapshotMessage } from './snapshot-parts.ts'
import { SnapshotTrigger, type SnapshotLimits } from './snapshot-trigger.ts'
import { DEFAULT_QUORUM_TIMING, type Applied, type Founding, type QuorumRole, type QuorumStatus, type QuorumTiming, type QuorumTransport, type StateMachine } from './types.ts'

export interface QuorumOptions extends SnapshotLimits {
  member: string
  founding: Founding
  /** How many voters the quorum is to have: with fewer, learners that caught up become voters at once. */
  targetVoters?: number
  disk: Disk
  transport: QuorumTransport
  machine: StateMachine
  logger: Logger
  timing?: Partial<QuorumTiming>
  /** Told whenever entries have been applied. */
  onApplied?: () => void
}

/** After so many election times without a leader, a member may have been removed. */
const LEADER_SILENCE_ELECTIONS = 4
/** A member whose disk refused a write stands for no election for so long, in ms. */
const DISK_FAULT_PAUSE_MS = 2000

export class QuorumNode {
  readonly timing: QuorumTiming
  readonly lock = new Lock()
  role: QuorumRole = 'follower'
  leaderName: string | undefined
  commitIndex = 0
  private appliedIndex = 0
  private leader: Leader | undefined
  private heardFromLeaderAt = -Infinity
  private readonly electionTimer: ElectionTimer
  private readonly incoming = new IncomingSnapshot((why) => this.record('snapshot', `refused: ${why}`))
  private readonly snapshots: SnapshotTrigger
  private diskFailedAt = -Infinity
  private stopped = false
  private storedVote!: DurableVote
  private storedLog: ReplicatedLog | undefined

  constructor (readonly options: QuorumOptions) {
    this.timing = { ...DEFAULT_QUORUM_TIMING, ...options.timing }
    this.electionTimer = new ElectionTimer(this.timing, () => { this.electionDue().catch((error) => this.diskFailed(error)) })
    this.snapshots = new SnapshotTrigger(options)
  }

  get name (): string { return this.options.member }
  get vote (): DurableVote { return this.storedVote }
  get log (): ReplicatedLog {
    if (this.storedLog === undefined) throw this.error('ERR_GULLWALL_NOT_STARTED', 'log', 'the data folder has not been read yet')
    return this.storedLog
  }

  get membership (): Membership { return this.storedLog?.membership ?? NO_MEMBERS }
  /** Whether this member leads or a leader has replicated to it lately. */
  get hasHeardFromLeader (): boolean {
    return this.role === 'leader' || performance.now() - this.heardFromLeaderAt < LEADER_SILENCE_ELECTIONS * this.timing.electionMs
  }

  get isStopped (): boolean { return this.stopped }

  /** Reads the data folder; the member takes part from now on. */
  async start (): Promise<void> {
    const { disk, machine } = this.options
    this.storedVote = await DurableVote.open(disk, this.options.founding.mayFound)
    const { log, snapshot } = await ReplicatedLog.open(disk)
    this.storedLog = log
    if (snapshot.index > 0) machine.restore(snapshot.state)
    this.commitIndex = snapshot.index
    this.appliedIndex = snapshot.index
    this.record('recovered', `${log.lastIndex} entries, snapshot at ${snapshot.index}`)
    this.armElection()
    found(this).catch((error) => this.diskFailed(error))
  }

  /** Hands leadership over, if it has it, and takes no part any more. */
  async stop (): Promise<void> {
    if (this.leader !== undefined) await this.leader.handOver()
    this.kill()
    await this.lock.run(async () => { await this.options.disk.close() })
  }

  /** Stops at once, as a crash would. */
  kill (): void {
    this.stopped = true
    this.electionTimer.stop()
    this.leader?.end('stopped')
    this.leader = undefined
  }

  /**
   * Has a command accepted by a quorum and applied.
   * @throws ERR_GULLWALL_NOT_LEADER, with the leader's name if it is known
   * @throws ERR_GULLWALL_OUTCOME_UNKNOWN if leadership was lost in the meantime
   */
  async propose (command: string): Promise<Applied> {
    return await this.leading('propose').propose(commandData(command))
  }

  /**
   * Gives an index up to which everything acknowledged anywhere is applied here.
   * @throws ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_NO_QUORUM
   */
  async confirmRead (): Promise<number> {
    return await this.leading('read').confirmRead()
  }

  /** Adds a member as a learner; it becomes a voter once it has caught up. */
  async addMember (name: string, address: string): Promise<void> {
    await this.leading('add member').addMember(name, address)
  }

  async removeMember (name: string): Promise<void> {
    await this.leading('remove member').removeMember(name)
  }

  /** Takes a process that asked to join as a learner; also one that lost its disk and has another incarnation now. */
  async admit (name: string, member: QuorumMember): Promise<void> {
    await this.leading('admit').admit(name, member)
  }

  status (): QuorumStatus {
    const { voters, learners } = this.membership
    return {
      member: this.name,
      incarnation: this.vote.incarnation,
      role: this.role,
      term: this.vote.term,
      leader: this.leaderName,
      lastIndex: this.log.lastIndex,
      commitIndex: this.commitIndex,
      snapshotIndex: this.log.snapshotIndex,
      voters: Object.keys(voters),
      learners: Object.keys(learners),
      replication: this.leader?.replication() ?? []
    }
  }

  /** Answers a request of another member. */
  async handle (message: Message): Promise<Message> {
    if (this.stopped) throw this.error('ERR_GULLWALL_STOPPED', message.kind, 'this member has stopped')
    switch (message.kind) {
      case 'whoAreYou': return this.whoIAm()
      case 'vote': return await this.lock.run(async () => await this.handleVote(message))
      case 'append': return await this.lock.run(async () => await this.handleAppend(message))
      case 'install': case 'snapshotPart': return await this.lock.run(async () => await this.handleInstall(message))
      case 'takeOver': return this.handleTakeOver(message)
      default: throw this.error('ERR_GULLWALL_NO_REQUESTS', message.kind, 'not a request of the quorum')
    }
  }

  /** Moves to a higher term without a vote. Call under the lock. */
  async adoptTerm (term: number): Promise<void> {
    if (term <= this.vote.term) return
    await this.vote.set(term, null)
    this.stepDown('a higher term')
  }

  /** Begins to lead in the current term. Call under the lock. */
  becomeLeader (): void {
    this.role = 'leader'
    this.leaderName = this.name
    this.leader = new Leader(this, this.vote.term)
    this.record('leader', `elected by ${Object.keys(this.membership.voters).length} voters`)
  }

  stepDown (why: string): void {
    if (this.role !== 'follower') this.record('follower', why)
    this.role = 'follower'
    this.leaderName = undefined
    this.leader?.end(why)
    this.leader = undefined
    this.armElection()
  }

  /** Applies what is committed by now. */
  commitTo (index: number): void {
    if (index <= this.commitIndex) return
    this.commitIndex = index
    while (this.appliedIndex < this.commitIndex) this.applyNext()
    this.options.onApplied?.()
    if (this.snapshots.isDue(this.appliedIndex - this.log.snapshotIndex)) this.takeSnapshot()
  }

  /** The disk has refused a write: another member should lead. */
  diskFailed (error: unknown): void {
    this.options.logger.error({ channel: 'quorum', event: 'disk', term: this.vote.term, why: messageOf(error) })
    this.diskFailedAt = performance.now()
    this.stepDown('the disk refused a write')
  }

  record (event: QuorumRecord['event'], why: string): void {
    this.options.logger.info({ channel: 'quorum', event, term: this.vote.term, why: `${this.name}: ${why}` })
  }

  error (code: `ERR_GULLWALL_${string}`, step: string, message: string): GullwallError {
    return new GullwallError(code, message, { step: `quorum ${step}`, peer: this.leaderName })
  }

  /** Starts the wait for the next election anew. */
  armElection (): void {
    if (this.stopped) return
    if (this.role !== 'follower' || this.leaderName !== undefined) this.electionTimer.settle()
    this.electionTimer.arm()
  }

  private async electionDue (): Promise<void> {
    this.armElection()
    if (performance.now() - this.diskFailedAt < DISK_FAULT_PAUSE_MS) return
    if (this.role === 'leader') {
      if (this.leader?.hasQuorum() === false) await this.lock.run(async () => this.stepDown('no word from a quorum'))
      return
    }
    if (isVoter(this.membership, this.name, this.vote.incarnation)) await campaign(this, { handover: false })
  }

  private leading (step: string): Leader {
    if (this.leader === undefined) throw this.error('ERR_GULLWALL_NOT_LEADER', step, `the leader is ${this.leaderName ?? 'not known'}`)
    return this.leader
  }

  private whoIAm (): MessageOf<'iAm'> {
    const formed = Object.keys(this.membership.voters).length > 0
    return { kind: 'iAm', member: this.name, incarnation: this.vote.incarnation, formed, mayFound: this.vote.mayFound }
  }

  /** A box that has lost its disk must not answer for the member it was: it may have forgotten a vote or an entry. */
  private assertMeant (to: string, step: string): void {
    if (to === this.vote.incarnation) return
    throw this.error('ERR_GULLWALL_OTHER_INCARNATION', step, 'this member has lost its disk since; add it again')
  }

  private async handleVote (message: MessageOf<'vote'>): Promise<Message> {
    this.assertMeant(message.to, 'vote')
    const isUpToDate = message.lastTerm > this.log.lastTerm ||
      (message.lastTerm === this.log.lastTerm && message.lastIndex >= this.log.lastIndex)
    const hasLeader = !message.handover && performance.now() - this.heardFromLeaderAt < this.timing.electionMs
    if (message.prevote) {
      return { kind: 'voted', term: this.vote.term, granted: isUpToDate && !hasLeader && message.term > this.vote.term }
    }
    if (message.term < this.vote.term || hasLeader) return { kind: 'voted', term: this.vote.term, granted: false }
    const isFree = message.term > this.vote.term || this.vote.votedFor === null || this.vote.votedFor === message.candidate
    const granted = isFree && isUpToDate
    // A vote for the same candidate in an earlier term is another vote: where this one is not remembered, a second is given.
    if (granted && (message.term > this.vote.term || this.vote.votedFor === null)) await this.grantVote(message)
    else await this.adoptTerm(message.term)
    return { kind: 'voted', term: this.vote.term, granted }
  }

  private async grantVote (message: MessageOf<'vote'>): Promise<void> {
    const isHigher = message.term > this.vote.term
    await this.vote.set(message.term, message.candidate)
    if (isHigher) this.stepDown('voted in a higher term')
    this.electionTimer.settle()
    this.armElection()
  }

  private async handleAppend (message: MessageOf<'append'>): Promise<Message> {
    this.assertMeant(message.to, 'append')
    if (message.term < this.vote.term) return this.appended(false)
    await this.followLeader(message.term, message.leader)
    // What a snapshot replaces is committed, so that it stands in the log of every later leader.
    const isKnown = message.prevIndex < this.log.snapshotIndex || this.log.termAt(message.prevIndex) === message.prevTerm
    if (!isKnown) return this.appended(false, Math.min(this.log.lastIndex, message.prevIndex - 1))
    await this.log.take(message.entries)
    const matched = message.prevIndex + message.entries.length
    this.commitTo(Math.min(message.commit, matched))
    // A leader that missed earlier answers learns at once up to where this member holds the same entries.
    return this.appended(true, Math.max(matched, this.commitIndex))
  }

  private async followLeader (term: number, leader: string): Promise<void> {
    await this.adoptTerm(term)
    if (this.role !== 'follower') this.stepDown(`${leader} leads`)
    if (this.leaderName !== leader) this.record('follower', `follows ${leader}`)
    this.leaderName = leader
    this.heardFromLeaderAt = performance.now()
    this.armElection()
  }

  private async handleInstall (message: SnapshotMessage): Promise<Message> {
    this.assertMeant(message.to, 'install')
    if (message.term < this.vote.term) return this.appended(false)
    await this.followLeader(message.term, message.leader)
    const data = this.incoming.add(message)
    if (data === undefined) return this.appended(true, 0)
    const snapshot = JSON.parse(data.toString('utf8')) as Snapshot
    if (snapshot.index > this.commitIndex) await this.installSnapshot(snapshot, data)
    return this.appended(true, snapshot.index)
  }

  private async installSnapshot (snapshot: Snapshot, data: Buffer): Promise<void> {
    await this.log.install(snapshot, data)
    this.options.machine.restore(snapshot.state)
    this.commitIndex = snapshot.index
    this.appliedIndex = snapshot.index
    this.options.onApplied?.()
    this.record('snapshot', `installed at ${snapshot.index}: ${data.length} bytes`)
  }

  private handleTakeOver (message: MessageOf<'takeOver'>): Message {
    this.assertMeant(message.to, 'takeOver')
    if (message.term === this.vote.term) void campaign(this, { handover: true })
    return { kind: 'done' }
  }

  private appended (ok: boolean, lastIndex = this.log.lastIndex): MessageOf<'appended'> {
    return { kind: 'appended', term: this.vote.term, ok, lastIndex, takesSnapshotParts: true }
  }

  private applyNext (): void {
    this.appliedIndex += 1
    const entry = this.log.entryAt(this.appliedIndex)
    if (entry === undefined) throw this.error('ERR_GULLWALL_DAMAGED', 'apply', `no entry at ${this.appliedIndex}`)
    const data = parseData(entry.data)
    this.snapshots.note(entry.data.length)
    const result = data.type === 'command' ? this.options.machine.apply(entry.index, data.command) : ''
    if (data.type === 'membership') this.record('member', `voters ${Object.keys(data.membership.voters).join(', ')}`)
    this.leader?.applied(entry, result)
  }

  private takeSnapshot (): void {
    const index = this.appliedIndex
    this.snapshots.taken()
    const state = this.options.machine.snapshot()
    this.lock.run(async () => await this.log.compact(index, state)).then(
      () => this.record('snapshot', `taken at ${index}`),
      (error) => this.options.logger.error({ channel: 'process', event: 'failed', why: `snapshot: ${messageOf(error)}` })
    )
  }
}
