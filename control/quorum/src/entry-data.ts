/** What an entry of the log holds: nothing, a membership, or a command. */
import { type Membership } from './members.ts'

const NOOP = 'n'
const MEMBERSHIP = 'm'
const COMMAND = 'c'

export type EntryData =
  | { type: 'noop' }
  | { type: 'membership', membership: Membership }
  | { type: 'command', command: string }

/** The entry a new leader begins its term with; entries before it are committed through it. */
export const NOOP_DATA = NOOP

export function membershipData (membership: Membership): string {
  return MEMBERSHIP + JSON.stringify(membership)
}

export function commandData (command: string): string {
  return COMMAND + command
}

export function parseData (data: string): EntryData {
  switch (data[0]) {
    case COMMAND: return { type: 'command', command: data.slice(1) }
    case MEMBERSHIP: return { type: 'membership', membership: JSON.parse(data.slice(1)) as Membership }
    default: return { type: 'noop' }
  }
}
