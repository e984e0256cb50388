/** Addresses of control processes from the settings and from the quorum. */
import { linkAddresses, type ControlSettings } from '@gullwall/config.settings'
import { type Founding, type QuorumNode } from '@gullwall/control.quorum'

/** Returns the address at which this process accepts links. */
export function ownLinkAddress (settings: ControlSettings): string {
  return settings.members[settings.member] ?? settings.links ?? settings.listen
}

/** Returns the addresses of the control processes that the settings name. */
export function seedAddresses (settings: ControlSettings): string[] {
  const members = Object.values(settings.members)
  return members.length > 0 ? members : linkAddresses(settings.seeds, settings.linkPort)
}

export function foundingOf (settings: ControlSettings): Founding {
  return { self: ownLinkAddress(settings), addresses: seedAddresses(settings), mayFound: settings.founds }
}

/** Returns the intended number of voters. Returns undefined if every process that joins becomes a voter. */
export function targetVoters ({ tolerance }: ControlSettings): number | undefined {
  return tolerance === undefined ? undefined : 2 * tolerance + 1
}

/** Returns the addresses of all members, including learners. */
export function memberAddresses (quorum: QuorumNode): string[] {
  const { voters, learners } = quorum.membership
  return [...new Set([...Object.values(voters), ...Object.values(learners)].map((member) => member.address))]
}
