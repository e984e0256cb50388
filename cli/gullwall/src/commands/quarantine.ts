/** The commands that list and release quarantined requests and parts of prompts. */
import { command, flag, positional, string, subcommands } from 'cmd-ts'
import { type QuarantineList } from '@gullwall/cli.client'
import { connection, print, withClient } from '../options.ts'

const listCommand = command({
  name: 'list',
  description: 'Lists the parts of prompts and the requests that are not sent to endpoints because endpoints crashed under them.\n' +
    'Example: gullwall quarantine list',
  args: { ...connection, json: flag({ long: 'json', description: 'print JSON' }) },
  handler: async (args) => await withClient(args, async (client) => {
    const list = await client.quarantine()
    print(args.json ? JSON.stringify(list) : formatQuarantine(list))
  })
})

const releaseCommand = command({
  name: 'release',
  description: 'Ends the quarantine of a part or a request, as `list` names it. Five further crashes quarantine a part again, one a request.\n' +
    'Example: gullwall quarantine release assistant/5c1e07a2',
  args: { ...connection, name: positional({ type: string, displayName: 'NAME' }) },
  handler: async (args) => await withClient(args, async (client) => {
    await client.releaseFromQuarantine(args.name)
    print(`${args.name} is released`)
  })
})

export const quarantineCommands = subcommands({
  name: 'quarantine',
  description: 'Lists and releases what is not sent to endpoints because endpoints crashed under it',
  cmds: { list: listCommand, release: releaseCommand }
})

export function formatQuarantine ({ parts, requests }: QuarantineList): string {
  const lines = parts.map(({ name, organisation, crashes, failedProbes, probe }) => {
    const whose = organisation === undefined ? 'all organisations' : `organisation ${organisation}`
    const probes = `${failedProbes} failed probes${probe === undefined ? '' : `, probed at ${probe.box}`}`
    return `part ${name}: for ${whose}, ${crashes} crashes, ${probes}`
  })
  lines.push(...requests.map((fingerprint) => `request ${fingerprint}`))
  return lines.length === 0 ? 'nothing is quarantined' : lines.join('\n')
}
