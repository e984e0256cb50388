/** Members of a quorum on disks in memory and a network that the test cuts; time is the test's. */
import { vi } from 'vitest'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { silentLogger } from '@gullwall/core.logger'
import { MemoryDisk, type CrashEffect } from '@gullwall/control.storage'
import { QuorumNode, type QuorumTransport, type StateMachine } from '@gullwall/control.quorum'
import { decode, encode } from '@gullwall/transport.link'
import { parseMessage, type Message, type MessageKind, type MessageOf } from '@gullwall/transport.messages'

/** Keeps the commands it was given, in order. */
class ListMachine implements StateMachine {
  commands: string[] = []
  apply (_index: number, command: string): string {
    this.commands.push(command)
    return `${this.commands.length}`
  }

  snapshot (): string {
    return JSON.stringify(this.commands)
  }

  restore (snapshot: string): void {
    this.commands = JSON.parse(snapshot) as string[]
  }
}

interface Member {
  node: QuorumNode
  disk: MemoryDisk
  machine: ListMachine
  isUp: boolean
}

interface Settling {
  resolve: (reply: Message) => void
  reject: (error: Error) => void
}

const MAX_DELAY_MS = 8
const STEP_MS = 20
const SNAPSHOT_EVERY = 12
/** Characters of a command that holds no text. */
const COMMAND_CHARACTERS = 16
/** The longest message of the links, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

export class Cluster {
  readonly members = new Map<string, Member>()
  readonly acknowledged: string[] = []
  /** One-way cuts, as `from>to`. */
  readonly cuts = new Set<string>()
  /** By how much the answers of a member are later, in ms. */
  readonly answerDelays = new Map<string, number>()
  /** By how much the requests to a member are later, in ms. */
  readonly requestDelays = new Map<string, number>()
  /** After how many entries a member takes a snapshot, where it is not the usual number. */
  readonly snapshotEvery = new Map<string, number>()
  /** The share of requests that arrive twice. */
  doubledShare = 0
  /** The length of the parts of snapshots, where it is not the usual one. */
  snapshotPartBytes: number | undefined
  /** Changes a request on its way to a member. */
  onRequest: ((to: string, message: Message) => Message) | undefined
  /** A link that is to carry a longer message closes instead. */
  maxMessageCharacters = Infinity
  /** Requests that were sent to each member so far. */
  readonly exchanges = new Map<string, number>()
  /** Changes a member that starts, for one of an older build. */
  onBoot: ((name: string, node: QuorumNode) => void) | undefined
  /** A vote that contradicts an earlier one of the same disk in the same term; none as long as all is well. */
  doubleVote: string | undefined
  /** Whom each disk has voted for in each term, itself included. */
  private readonly votes = new Map<string, string>()
  private readonly random: () => number
  private proposed = 0

  constructor (readonly names: readonly string[], seed: number, private readonly firstElectionShare = 1) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
    vi.spyOn(Math, 'random').mockImplementation(this.random)
  }

  async start (): Promise<void> {
    for (const name of this.names) await this.boot(name, new MemoryDisk())
    await this.until(() => this.leader() !== undefined)
  }

  stop (): void {
    for (const { node } of this.members.values()) node.kill()
    vi.restoreAllMocks()
    vi.useRealTimers()
  }

  get (name: string): Member {
    const member = this.members.get(name)
    if (member === undefined) throw new Error(`no member ${name}`)
    return member
  }

  leader (): QuorumNode | undefined {
    const leaders = [...this.members.values()].filter(({ node, isUp }) => isUp && node.role === 'leader').map(({ node }) => node)
    return leaders.sort((left, right) => right.vote.term - left.vote.term)[0]
  }

  /**
   * Proposes to whoever says it leads; notes the command if it is acknowledged, and calls `onAcknowledged` at that moment. A long one
   * goes in an append of its own.
   */
  propose (name: string, characters = 0, onAcknowledged = () => {}): void {
    this.proposeText(name, ''.padEnd(Math.max(0, characters - COMMAND_CHARACTERS), '.'), onAcknowledged)
  }

  /** Proposes a command that holds a text. */
  proposeText (name: string, text: string, onAcknowledged = () => {}): void {
    const { node, isUp } = this.get(name)
    if (!isUp) return
    this.proposed += 1
    const command = `command ${this.proposed}`.padEnd(COMMAND_CHARACTERS, '.') + text
    node.propose(command).then(() => {
      this.acknowledged.push(command)
      onAcknowledged()
    }, () => {})
  }

  /** Reads what must not be older than anything acknowledged before. */
  read (name: string): Promise<void> {
    const { node, isUp, machine } = this.get(name)
    if (!isUp) return Promise.resolve()
    const before = [...this.acknowledged]
    return node.confirmRead().then(() => {
      const missing = before.find((command) => !machine.commands.includes(command))
      if (missing !== undefined) throw new Error(`a confirmed read at ${name} lacks ${missing}`)
    }, () => {})
  }

  crash (name: string): void {
    const member = this.get(name)
    if (!member.isUp) return
    member.isUp = false
    member.disk.crash()
    member.node.kill()
  }

  /** The member crashes at its next write, which is lost, half there, or there but not answered. */
  crashAtNextWrite (name: string, effect: CrashEffect): void {
    const member = this.get(name)
    if (!member.isUp) return
    member.disk.beforeWrite = () => {
      member.isUp = false
      member.node.kill()
      return effect
    }
  }

  /** Starts a member again if it is down; if it is up, no crash hangs over it any more. */
  async restart (name: string): Promise<void> {
    const member = this.get(name)
    member.disk.beforeWrite = undefined
    if (!member.isUp) await this.boot(name, member.disk.reopened())
  }

  /** The member comes back with an empty disk. */
  async loseDisk (name: string): Promise<void> {
    this.crash(name)
    await this.boot(name, new MemoryDisk())
  }

  /** All members, which have lost power, come back; some with empty disks. */
  async restorePower (withoutDisk: readonly string[]): Promise<void> {
    for (const name of this.names) {
      const { disk } = this.get(name)
      disk.beforeWrite = undefined
      if (withoutDisk.includes(name)) await this.boot(name, new MemoryDisk(), false)
      else await this.boot(name, disk.reopened())
    }
  }

  /** An operator removes a member that has lost its disk and adds it again. */
  async readmit (name: string): Promise<void> {
    const address = name
    await this.leader()?.removeMember(name).catch(() => {})
    await this.leader()?.addMember(name, address).catch(() => {})
  }

  async advance (ms: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(ms)
  }

  async until (holds: () => boolean, limitMs = 20_000): Promise<boolean> {
    for (let waited = 0; waited < limitMs; waited += STEP_MS) {
      if (holds()) return true
      await this.advance(STEP_MS)
    }
    return holds()
  }

  private async boot (name: string, disk: MemoryDisk, mayFound = true): Promise<void> {
    const machine = new ListMachine()
    const founding = { self: name, addresses: this.names, mayFound }
    const timing = { firstElectionShare: this.firstElectionShare }
    const node = new QuorumNode({
      member: name,
      founding,
      disk,
      machine,
      transport: this.transport(name),
      logger: silentLogger(),
      snapshotEvery: this.snapshotEvery.get(name) ?? SNAPSHOT_EVERY,
      timing,
      snapshotPartBytes: this.snapshotPartBytes
    })
    this.onBoot?.(name, node)
    const started = node.start()
    await this.advance(1)
    await started
    this.members.set(name, { node, disk, machine, isUp: true })
  }

  private transport (from: string): QuorumTransport {
    return {
      call: async <Kind extends MessageKind>(to: string, message: Message, _expected: Kind, timeoutMs: number) => {
        return await this.deliver(from, to, this.onRequest?.(to, carry(message)) ?? carry(message), timeoutMs) as MessageOf<Kind>
      }
    }
  }

  private noteVote (name: string, incarnation: string, term: number, candidate: string): void {
    const key = `${name} ${incarnation} ${term}`
    const before = this.votes.get(key)
    this.votes.set(key, candidate)
    if (before !== undefined && before !== candidate) this.doubleVote ??= `${name} votes for ${before} and ${candidate} in term ${term}`
  }

  /** A candidate votes for itself; another member by the answer that it gives, whether that arrives or not. */
  private noteVotes (from: string, to: string, message: Message, reply?: Message): void {
    if (message.kind !== 'vote' || message.prevote) return
    if (reply === undefined) this.noteVote(from, this.get(from).node.vote.incarnation, message.term, message.candidate)
    else if (reply.kind === 'voted' && reply.granted) this.noteVote(to, message.to, message.term, message.candidate)
  }

  private deliver (from: string, to: string, message: Message, timeoutMs: number): Promise<Message> {
    this.noteVotes(from, to, message)
    this.exchanges.set(to, (this.exchanges.get(to) ?? 0) + 1)
    if (JSON.stringify(message).length > this.maxMessageCharacters) return Promise.reject(new Error('the link has closed'))
    return new Promise((resolve, reject) => {
      setTimeout(() => reject(new Error('timed out')), timeoutMs)
      const arrive = () => this.answer(from, to, message, { resolve, reject })
      const delayMs = this.requestDelays.get(to)
      this.afterDelay(from, to, arrive, delayMs)
      if (this.doubledShare > 0 && this.random() < this.doubledShare) this.afterDelay(from, to, arrive, delayMs)
    })
  }

  private answer (from: string, to: string, message: Message, { resolve, reject }: Settling): void {
    const member = this.members.get(to)
    if (member === undefined || !member.isUp) return
    member.node.handle(message).then(
      (reply) => {
        if (!member.isUp) return
        this.noteVotes(from, to, message, reply)
        this.afterDelay(to, from, () => resolve(carry(reply)), this.answerDelays.get(to))
      },
      (error: Error) => reject(error)
    )
  }

  /** Messages overtake each other, and are lost where the network is cut. */
  private afterDelay (from: string, to: string, action: () => void, delayMs = 0): void {
    setTimeout(() => {
      if (!this.cuts.has(`${from}>${to}`)) action()
    }, 1 + Math.floor(this.random() * MAX_DELAY_MS) + delayMs)
  }
}

/** What a message is after it has crossed a link. */
function carry (message: Message): Message {
  const parsed = parseMessage(decode(encode(message), MAX_MESSAGE_BYTES))
  if (!parsed.ok) throw new Error(`a message that a link refuses as ${parsed.reason}`)
  return parsed.message
}
