/** The command that evacuates a data centre, or withdraws the evacuation. */
import { command, flag, positional, string } from 'cmd-ts'
import { type EvacuationResult } from '@gullwall/control.state'
import { connection, print, withClient } from '../options.ts'

export const evacuateCommand = command({
  name: 'evacuate',
  description: 'Stops sending requests to the endpoints of a data centre; running requests are completed.\n' +
    'Example: gullwall evacuate hall-east\nExample: gullwall evacuate hall-east --withdraw',
  args: {
    ...connection,
    dataCentre: positional({ type: string, displayName: 'DATACENTRE' }),
    withdraw: flag({ long: 'withdraw', description: 'send requests to its endpoints again' })
  },
  handler: async (args) => await withClient(args, async (client) => {
    print(formatEvacuation(args.dataCentre, await client.evacuate(args.dataCentre, !args.withdraw)))
  })
})

export function formatEvacuation (dataCentre: string, { isEvacuated, epoch }: EvacuationResult): string {
  return `${dataCentre} is ${isEvacuated ? 'evacuated' : 'no longer evacuated'} (order ${epoch} of this data centre)`
}
