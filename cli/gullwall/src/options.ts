/** Options that several commands share. */
import { userInfo } from 'node:os'
import { multioption, option, optional, string, array } from 'cmd-ts'
import { GullwallError } from '@gullwall/core.error'
import { OperatorClient } from '@gullwall/cli.client'

const CONTROL_VARIABLE = 'GULLWALL_CONTROL'
const TOKEN_VARIABLE = 'GULLWALL_TOKEN'
const ADMIN_VARIABLE = 'GULLWALL_ADMIN'

export const connection = {
  control: multioption({
    type: array(string), long: 'control', description: `address of a control process; may be repeated; else ${CONTROL_VARIABLE}, joined by commas`
  }),
  token: option({ type: optional(string), long: 'token', description: `operator token; else ${TOKEN_VARIABLE}` })
}

export const admins = multioption({
  type: array(string), long: 'admin', description: `admin address of an entry or sidecar; may be repeated; else ${ADMIN_VARIABLE}, joined by commas`
})

export interface ConnectionArgs {
  control: string[]
  token: string | undefined
}

/** Runs a task with a client, and closes the client afterwards. */
export async function withClient<T> (args: ConnectionArgs, task: (client: OperatorClient) => Promise<T>): Promise<T> {
  const control = args.control.length > 0 ? args.control : readListVariable(CONTROL_VARIABLE)
  const token = args.token ?? process.env[TOKEN_VARIABLE]
  if (control.length === 0) throw missingArgument('no control address', `give --control or set ${CONTROL_VARIABLE}`)
  if (token === undefined) throw missingArgument('no operator token', `give --token or set ${TOKEN_VARIABLE}`)
  const client = new OperatorClient({ control, token, operator: userInfo().username })
  try {
    return await task(client)
  } finally {
    await client.close()
  }
}

/** Returns the admin addresses of the option, or else of the environment variable. */
export function resolveAdminAddresses (given: string[]): string[] {
  return given.length > 0 ? given : readListVariable(ADMIN_VARIABLE)
}

export function missingArgument (message: string, hint: string): GullwallError {
  return new GullwallError('ERR_GULLWALL_BAD_CONFIGURATION', message, { step: 'arguments', hint })
}

export function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

function readListVariable (variable: string): string[] {
  return (process.env[variable] ?? '').split(',').filter((part) => part !== '')
}
