/** Members as builds had them that ask again and again where a member holds a later snapshot: see the tests of late answers. */
import { vi } from 'vitest'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { QuorumNode, type QuorumTiming, type QuorumTransport } from '@gullwall/control.quorum'
import { Replicator } from '../src/replicator.ts'

type Append = MessageOf<'append'>
type Appended = MessageOf<'appended'>

interface OpenNode {
  log: QuorumNode['log']
  commitIndex: number
  handleAppend: (message: Append) => Promise<Appended>
  handle: (message: Message) => Promise<Message>
  handleInstall: (message: MessageOf<'install'>) => Promise<Appended>
}

interface OpenReplicator {
  leadership: { name: string, term: number, log: QuorumNode['log'], sawTerm: (term: number) => void, acknowledged: () => void }
  acknowledgedAt: number
  matchIndex: number
  nextIndex: number
  noteReply: (message: Append, reply: Appended, sentAt: number) => string
}

/** Makes a member answer as older builds do: entries behind its snapshot are refused, with its commit index. */
export function followAsOlderBuild (node: QuorumNode): void {
  const open = node as unknown as OpenNode
  const handleAppend = open.handleAppend.bind(node)
  open.handleAppend = async (message) => {
    const isInSnapshot = message.term >= node.vote.term && message.prevIndex < open.log.snapshotIndex
    const reply = await handleAppend(isInSnapshot ? { ...message, entries: [], commit: 0 } : message)
    if (isInSnapshot) return { ...reply, ok: false, lastIndex: open.commitIndex }
    return reply.ok ? { ...reply, lastIndex: message.prevIndex + message.entries.length } : reply
  }
  const handleInstall = open.handleInstall.bind(node)
  open.handleInstall = async ({ index: _index, ...message }) => await handleInstall(message)
  const handle = open.handle.bind(node)
  open.handle = async (message) => {
    // A link passes over messages of kinds that it does not know.
    if (message.kind === 'snapshotPart') return await new Promise(() => {})
    const reply = await handle(message)
    return reply.kind === 'appended' ? withoutTakesSnapshotParts(reply) : reply
  }
}

function withoutTakesSnapshotParts ({ takesSnapshotParts: _takesSnapshotParts, ...reply }: Appended): Appended {
  return reply
}

interface TextSender {
  member: { address: string, incarnation: string }
  leadership: OpenReplicator['leadership'] & { transport: QuorumTransport, timing: QuorumTiming, isActive: () => boolean, snapshotPartBytes: number }
  acknowledgedAt: number
  sendSnapshot: (takesBytes: boolean) => Promise<string>
  noteMatch: (index: number) => boolean
}

/** Makes the members that `isOlder` names send snapshots as older builds do: in text that is cut between any two UTF-16 units. */
export function sendSnapshotsAsOlderBuild (isOlder: (name: string) => boolean): void {
  const prototype = Replicator.prototype as unknown as TextSender
  const { sendSnapshot } = prototype
  vi.spyOn(prototype, 'sendSnapshot').mockImplementation(async function (this: TextSender, takesBytes) {
    const { leadership, member: { address, incarnation: to } } = this
    if (!isOlder(leadership.name)) return await sendSnapshot.call(this, takesBytes)
    const { index, data } = await leadership.log.readSnapshot()
    const text = data.toString('utf8')
    const { term, name: leader, snapshotPartBytes: length } = leadership
    for (let offset = 0; offset < text.length && leadership.isActive(); offset += length) {
      const part = { kind: 'install', to, term, leader, index, offset, last: offset + length >= text.length, data: text.slice(offset, offset + length) } as const
      const sentAt = performance.now()
      const reply = await leadership.transport.call(address, part, 'appended', leadership.timing.callMs)
      if (reply.term > term) {
        leadership.sawTerm(reply.term)
        return 'none'
      }
      this.acknowledgedAt = sentAt
      leadership.acknowledged()
    }
    return this.noteMatch(index) ? 'more' : 'stalled'
  })
}

/** Makes the members that `isOlder` names lead as older builds do: each refusal sends them back, and nothing makes them wait. */
export function leadAsOlderBuild (isOlder: (name: string) => boolean): void {
  const prototype = Replicator.prototype as unknown as OpenReplicator
  const { noteReply } = prototype
  vi.spyOn(prototype, 'noteReply').mockImplementation(function (this: OpenReplicator, message, reply, sentAt) {
    const { leadership } = this
    if (!isOlder(leadership.name) || reply.term > leadership.term) return noteReply.call(this, message, reply, sentAt)
    this.acknowledgedAt = sentAt
    if (!reply.ok) {
      this.nextIndex = Math.max(1, Math.min(this.nextIndex - 1, reply.lastIndex + 1))
      leadership.acknowledged()
      return 'more'
    }
    this.matchIndex = Math.max(this.matchIndex, message.prevIndex + message.entries.length)
    this.nextIndex = this.matchIndex + 1
    leadership.acknowledged()
    return this.nextIndex <= leadership.log.lastIndex ? 'more' : 'none'
  })
}
