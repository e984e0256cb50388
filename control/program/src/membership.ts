/** Addresses of control processes, as the settings and the quorum tell them. */
import { linkAddresses, type ControlSettings } from '@gullwall/config.settings'
import { type Founding, type QuorumNode } from '@gullwall/control.quorum'

/** Where this process's own links listen. */
export function ownLinkAddress (settings: ControlSettings): string {
  return settings.members[settings.member] ?? settings.links ?? settings.listen
}

/** The control processes that the settings name. */
export function seedAddresses (settings: ControlSettings): string[] {
  const members = Object.values(settings.members)
  return members.length > 0 ? members : linkAddresses(settings.seeds, settings.linkPort)
}

export function foundingOf (settings: ControlSettings): Founding {
  return { self: ownLinkAddress(settings), addresses: seedAddresses(settings), mayFound: settings.founds }
}

/** How many voters the quorum is to have; undefined where every process that joins votes. */
export function targetVoters ({ tolerance }: ControlSettings): number | undefined {
  return tolerance === undefined ? undefined : 2 * tolerance + 1
}

/** The addresses of all members, learners included. */
export function memberAddresses (quorum: QuorumNode): string[] {
  const { voters, learners } = quorum.membership
  return [...new Set([...Object.values(voters), ...Object.values(learners)].map((member) => member.address))]
}
