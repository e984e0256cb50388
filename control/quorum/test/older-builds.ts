/** Members as builds had them that ask again and again where a member holds a later snapshot: see the tests of late answers. */
import { vi } from 'vitest'
import { type MessageOf } from '@gullwall/transport.messages'
import { QuorumNode } from '@gullwall/control.quorum'
import { Replicator } from '../src/replicator.ts'

type Append = MessageOf<'append'>
type Appended = MessageOf<'appended'>

interface OpenNode {
  log: QuorumNode['log']
  commitIndex: number
  handleAppend: (message: Append) => Promise<Appended>
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
