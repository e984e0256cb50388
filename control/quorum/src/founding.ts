/**
 * Founding a quorum. Only one founder may do it: the first by address of those that have kept their disks since they were
 * started to found. It does so when every founder has answered that it holds nothing yet, and most of them have kept their
 * disks: nothing can have been acknowledged without one of these. So a box that has lost its disk never founds a second
 * quorum and never votes under its old name; it joins once the others have founded without it.
 */
import { messageOf } from '@gullwall/core.error'
import { type MessageOf } from '@gullwall/transport.messages'
import { membershipData } from './entry-data.ts'
import { type Membership } from './members.ts'
import { type QuorumNode } from './quorum-node.ts'

const RETRY_MS = 200

export async function found (node: QuorumNode): Promise<void> {
  const { self, addresses } = node.options.founding
  if (!node.vote.mayFound || !addresses.includes(self)) return
  const notes = new Set<string>()
  while (!node.isStopped && !isFormed(node)) {
    const founders = await askFounders(node)
    if (founders === 'formed' && !notes.has(founders)) {
      notes.add(founders)
      node.record('member', 'the quorum exists but does not know this member; add it with `gullwall control add`')
    }
    if (typeof founders === 'object') await begin(node, founders)
    else await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
  }
}

function isFormed (node: QuorumNode): boolean {
  return Object.keys(node.membership.voters).length > 0
}

/**
 * Gives the founders that have kept their disks if all answered, all hold nothing, and this one is the first. Asks in the
 * order of addresses: whoever goes before this one has been seen without its disk, and so founds no more, before the others
 * say that they hold nothing.
 */
async function askFounders (node: QuorumNode): Promise<Membership | 'formed' | 'not yet'> {
  const { self, addresses } = node.options.founding
  const membership: Membership = { voters: {}, learners: {} }
  for (const address of [...addresses].sort()) {
    const reply = await whoIs(node, address)
    if (reply === undefined) return 'not yet'
    if (reply.formed) return 'formed'
    if (reply.mayFound && address < self) return 'not yet'
    if (reply.mayFound) membership.voters[reply.member] = { address, incarnation: reply.incarnation }
  }
  return Object.keys(membership.voters).length > addresses.length / 2 ? membership : 'not yet'
}

type Answer = Pick<MessageOf<'iAm'>, 'member' | 'incarnation' | 'formed' | 'mayFound'>

async function whoIs (node: QuorumNode, address: string): Promise<Answer | undefined> {
  const { founding, transport, logger } = node.options
  const { incarnation, mayFound } = node.vote
  if (address === founding.self) return { member: node.name, incarnation, formed: isFormed(node), mayFound }
  try {
    return await transport.call(address, { kind: 'whoAreYou' }, 'iAm', node.timing.callMs)
  } catch (error) {
    logger.debug({ channel: 'quorum', event: 'member', term: 0, why: `${address} is absent: ${messageOf(error)}` })
    return undefined
  }
}

async function begin (node: QuorumNode, membership: Membership): Promise<void> {
  const term = foundingTerm(node)
  await node.lock.run(async () => {
    if (isFormed(node)) return
    if (node.vote.term < term) await node.vote.set(term, node.name)
    node.log.add(term, membershipData(membership))
    await node.log.sync()
    node.record('member', `founded with ${Object.keys(membership.voters).join(', ')}`)
  })
}

/**
 * Each founder has a term of its own: what one that has lost its disk had sent off before may still arrive, and must not
 * pass for the same entry.
 */
function foundingTerm (node: QuorumNode): number {
  const { self, addresses } = node.options.founding
  return 1 + [...addresses].sort().indexOf(self)
}
