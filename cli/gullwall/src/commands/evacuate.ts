/** Empties a data centre, and takes it back. */
import { command, flag, positional, string } from 'cmd-ts'
import { type EvacuationResult } from '@gullwall/control.state'
import { connection, print, withClient } from '../options.ts'

export const evacuateCommand = command({
  name: 'evacuate',
  description: 'Has nothing more sent to the endpoints of a data centre; what runs there ends in peace.\n' +
    'Example: gullwall evacuate hall-east\nExample: gullwall evacuate hall-east --withdraw',
  args: {
    ...connection,
    dataCentre: positional({ type: string, displayName: 'DATACENTRE' }),
    withdraw: flag({ long: 'withdraw', description: 'its endpoints may have requests again' })
  },
  handler: async (args) => await withClient(args, async (client) => {
    print(formatEvacuation(args.dataCentre, await client.evacuate(args.dataCentre, !args.withdraw)))
  })
})

export function formatEvacuation (dataCentre: string, { isEvacuated, epoch }: EvacuationResult): string {
  return `${dataCentre} is ${isEvacuated ? 'evacuated' : 'no longer evacuated'} (order ${epoch} of this data centre)`
}
