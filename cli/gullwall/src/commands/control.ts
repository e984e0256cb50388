/** Commands for the members of the quorum. */
import { command, positional, string, subcommands } from 'cmd-ts'
import { type QuorumStatus } from '@gullwall/control.quorum'
import { connection, print, withClient } from '../options.ts'

const member = positional({ type: string, displayName: 'MEMBER' })

const statusCommand = command({
  name: 'status',
  description: 'Shows the quorum as known to the first control process that responds.',
  args: connection,
  handler: async (args) => await withClient(args, async (client) => printQuorum((await client.status()).quorum))
})

const addCommand = command({
  name: 'add',
  description: 'Adds a member; it votes once it has caught up.\nExample: gullwall control add c4 10.0.0.4:7400',
  args: { ...connection, member, address: positional({ type: string, displayName: 'ADDRESS' }) },
  handler: async (args) => await withClient(args, async (client) => printQuorum(await client.addMember(args.member, args.address)))
})

const removeCommand = command({
  name: 'remove',
  description: 'Removes a member, such as one that has lost its disk.\nExample: gullwall control remove c2',
  args: { ...connection, member },
  handler: async (args) => await withClient(args, async (client) => printQuorum(await client.removeMember(args.member)))
})

export const controlCommands = subcommands({
  name: 'control',
  description: 'Shows and changes the members of the quorum.',
  cmds: { status: statusCommand, add: addCommand, remove: removeCommand }
})

function printQuorum (quorum: QuorumStatus): void {
  print(`leader ${quorum.leader ?? 'none'}, term ${quorum.term}, committed ${quorum.commitIndex} of ${quorum.lastIndex}, snapshot at ${quorum.snapshotIndex}`)
  print(`voters: ${quorum.voters.join(', ')}`)
  if (quorum.learners.length > 0) print(`learners: ${quorum.learners.join(', ')}`)
}
