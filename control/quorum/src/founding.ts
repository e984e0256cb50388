/**
 * Founding a quorum. Only the founder with the first address may do it, and only
 * when every other founder answers that it holds nothing yet and was itself
 * started to found. So a box that has lost its disk never founds a second
 * quorum, and never votes under its old name.
 */
import { messageOf } from '@gullwall/core.error'
import { membershipData } from './entry-data.ts'
import { type Membership } from './members.ts'
import { type QuorumNode } from './quorum-node.ts'

const RETRY_MS = 200

export async function found (node: QuorumNode): Promise<void> {
  const { self, addresses } = node.options.founding
  if (!node.vote.mayFound || [...addresses].sort()[0] !== self) return
  let told = false
  while (!node.isStopped && !isFormed(node)) {
    const founders = await askFounders(node)
    if (founders === 'formed' && !told) {
      told = true
      node.record('member', 'the quorum exists but does not know this member; add it with `gullwall control add`')
    }
    if (typeof founders === 'object') await begin(node, founders)
    else await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
  }
}

function isFormed (node: QuorumNode): boolean {
  return Object.keys(node.membership.voters).length > 0
}

/** Gives the founders if all answered and hold nothing. */
async function askFounders (node: QuorumNode): Promise<Membership | 'formed' | 'absent'> {
  const { founding, transport } = node.options
  const membership: Membership = { voters: {}, learners: {} }
  for (const address of founding.addresses) {
    if (address === founding.self) {
      membership.voters[node.name] = { address, incarnation: node.vote.incarnation }
      continue
    }
    try {
      const reply = await transport.call(address, { kind: 'whoAreYou' }, 'iAm', node.timing.callMs)
      if (reply.formed) return 'formed'
      if (!reply.mayFound) return 'absent'
      membership.voters[reply.member] = { address, incarnation: reply.incarnation }
    } catch (error) {
      node.options.logger.debug({ channel: 'quorum', event: 'member', term: 0, why: `${address} is absent: ${messageOf(error)}` })
      return 'absent'
    }
  }
  return membership
}

async function begin (node: QuorumNode, membership: Membership): Promise<void> {
  await node.lock.run(async () => {
    if (isFormed(node)) return
    const FIRST_TERM = 1
    if (node.vote.term < FIRST_TERM) await node.vote.set(FIRST_TERM, node.name)
    node.log.add(FIRST_TERM, membershipData(membership))
    await node.log.sync()
    node.record('member', `founded with ${Object.keys(membership.voters).join(', ')}`)
  })
}
