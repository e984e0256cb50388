/** The command that creates keys for organisations. */
import { command, positional, string } from 'cmd-ts'
import { newOrganisationKey } from '@gullwall/config.records'
import { print } from '../options.ts'

export const keyCommand = command({
  name: 'key',
  description: 'Creates a key for an organisation, and the hash for its record.\nExample: gullwall key workshop-1',
  args: { organisation: positional({ type: string, displayName: 'ORGANISATION' }) },
  handler: ({ organisation }) => {
    const { key, hash } = newOrganisationKey(organisation)
    print(`key, for the organisation: ${key}`)
    print(`hash, for the record:      ${hash}`)
  }
})
