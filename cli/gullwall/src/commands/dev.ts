/** The command that runs all roles and stand-in engines in one process. */
import { command, option, optional, string } from 'cmd-ts'
import { readFileSync } from 'node:fs'
import { Deployment, OPERATOR_TOKEN } from '@gullwall/bench.deployment'
import { sampleDeployment, sampleKeys } from '@gullwall/bench.samples'
import { print } from '../options.ts'

export const devCommand = command({
  name: 'dev',
  description: 'Runs all roles and stand-in engines in one process, without stored data.\nExample: gullwall dev',
  args: { records: option({ type: optional(string), long: 'records', description: 'TOML file of records, in place of the sample' }) },
  handler: async ({ records }) => {
    const keys = sampleKeys()
    const sample = sampleDeployment('parts-catalogue', keys)
    const deployment = new Deployment({
      ...sample, records: records === undefined ? sample.records : readFileSync(records, 'utf8'), write: (line) => { process.stdout.write(line) }
    })
    await deployment.start()
    print(`entry:    http://${deployment.entryAddress()}/v1`)
    print(`control:  ${deployment.controlAddresses.join(',')}   token: ${OPERATOR_TOKEN}`)
    print(`admin:    ${deployment.entries.map((entry) => entry.get('admin').address).join(',')}`)
    for (const [organisation, { key }] of Object.entries(keys)) print(`key of ${organisation}: ${key}`)
    process.once('SIGINT', () => { void deployment.stop().then(() => process.exit(0)) })
  }
})
