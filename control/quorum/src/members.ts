/** Who takes part in the quorum, as an entry of the log says. */

/** One member. A box that has lost its disk comes back with another incarnation, and is another member. */
export interface QuorumMember {
  address: string
  /** Made when the data folder was empty, and kept in it. */
  incarnation: string
}

/** Voters decide; learners only receive the log, until they have caught up. */
export interface Membership {
  voters: Record<string, QuorumMember>
  learners: Record<string, QuorumMember>
}

export const NO_MEMBERS: Membership = { voters: {}, learners: {} }

/** How many voters make a majority. */
export function majority (membership: Membership): number {
  return Math.floor(Object.keys(membership.voters).length / 2) + 1
}

/** Everybody but one, voters first. */
export function othersOf (membership: Membership, self: string): Array<{ name: string, member: QuorumMember, votes: boolean }> {
  const voters = Object.entries(membership.voters).map(([name, member]) => ({ name, member, votes: true }))
  const learners = Object.entries(membership.learners).map(([name, member]) => ({ name, member, votes: false }))
  return [...voters, ...learners].filter(({ name }) => name !== self)
}

export function isVoter (membership: Membership, name: string, incarnation: string): boolean {
  return membership.voters[name]?.incarnation === incarnation
}

/** Adds a learner. */
export function withLearner (membership: Membership, name: string, member: QuorumMember): Membership {
  return { voters: membership.voters, learners: { ...membership.learners, [name]: member } }
}

/** Makes a learner a voter. */
export function promoted (membership: Membership, name: string): Membership {
  const { [name]: member, ...learners } = membership.learners
  return member === undefined ? membership : { voters: { ...membership.voters, [name]: member }, learners }
}

/** Takes the vote from a member; a learner of the same name stays. */
export function withoutVoter (membership: Membership, name: string): Membership {
  const { [name]: _voter, ...voters } = membership.voters
  return { voters, learners: membership.learners }
}

export function withoutMember (membership: Membership, name: string): Membership {
  const { [name]: _voter, ...voters } = membership.voters
  const { [name]: _learner, ...learners } = membership.learners
  return { voters, learners }
}
