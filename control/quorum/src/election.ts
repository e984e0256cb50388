/** Elections: first a vote without effect, so that a member that was cut off disturbs nobody, then the real one. */
import { isVoter, majority, othersOf, type QuorumMember } from './members.ts'
import { type QuorumNode } from './quorum-node.ts'

export interface CampaignOptions {
  /** The leader has asked for it: others vote although they hear from a leader. */
  handover: boolean
}

/** Stands for election once. */
export async function campaign (node: QuorumNode, options: CampaignOptions): Promise<void> {
  const prevote = options.handover || await poll(node, node.vote.term + 1, { ...options, prevote: true })
  if (!prevote || node.isStopped) return
  const term = await node.lock.run(async () => await becomeCandidate(node))
  if (term === undefined) return
  const won = await poll(node, term, { ...options, prevote: false })
  if (!won) return
  await node.lock.run(async () => {
    if (node.role === 'candidate' && node.vote.term === term && !node.isStopped) node.becomeLeader()
  })
}

async function becomeCandidate (node: QuorumNode): Promise<number | undefined> {
  if (node.role === 'leader' || node.isStopped) return undefined
  if (!isVoter(node.membership, node.name, node.vote.incarnation)) return undefined
  const term = node.vote.term + 1
  await node.log.sync()
  await node.vote.set(term, node.name)
  node.role = 'candidate'
  node.leaderName = undefined
  node.armElection()
  node.record('candidate', 'stands for election')
  return term
}

/** Asks every voter; true as soon as a majority, with the own vote, has granted. */
async function poll (node: QuorumNode, term: number, options: PollOptions): Promise<boolean> {
  const needed = majority(node.membership)
  const voters = othersOf(node.membership, node.name).filter(({ votes }) => votes)
  let granted = 1
  if (granted >= needed) return true
  return await new Promise((resolve) => {
    let open = voters.length
    for (const { member } of voters) {
      void ask(node, member, term, options).then((isGranted) => {
        open -= 1
        if (isGranted) granted += 1
        if (granted >= needed) resolve(true)
        else if (open === 0) resolve(false)
      })
    }
  })
}

interface PollOptions extends CampaignOptions {
  prevote: boolean
}

async function ask (node: QuorumNode, voter: QuorumMember, term: number, options: PollOptions): Promise<boolean> {
  const { log, timing } = node
  try {
    const reply = await node.options.transport.call(voter.address, {
      kind: 'vote', to: voter.incarnation, term, candidate: node.name, lastIndex: log.lastIndex, lastTerm: log.lastTerm, ...options
    }, 'voted', timing.callMs)
    if (reply.term > node.vote.term) await node.lock.run(async () => await node.adoptTerm(reply.term))
    return reply.granted
  } catch {
    return false
  }
}
