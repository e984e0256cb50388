/** `gullwall-load`: runs a scenario against entries and prints what came of it. */
import { writeFileSync } from 'node:fs'
import { command, option, optional, run, string } from 'cmd-ts'
import { request } from 'undici'
import { fail } from '@gullwall/core.kernel/program'
import { readSettings } from '@gullwall/config.settings'
import { createReport, formatReport, runLoad, scenarioSchema } from '@gullwall/bench.load'
import { type Run } from '@gullwall/bench.fake-engine'

const program = command({
  name: 'gullwall-load',
  description: 'Runs a load scenario.\nExample: gullwall-load --scenario monday.toml --json result.json',
  args: {
    scenario: option({ type: string, long: 'scenario', description: 'TOML file with the scenario' }),
    json: option({ type: optional(string), long: 'json', description: 'also write the result to this file' })
  },
  handler: async (args) => {
    const scenario = readSettings(args.scenario, scenarioSchema)
    process.stdout.write(`seed ${scenario.seed}\n`)
    const outcomes = await runLoad(scenario, {
      onProgress: (sent, total, done) => process.stderr.write(`\rsent ${sent} of ${total}, ended ${done.length} `)
    })
    const report = createReport(outcomes, scenario.ledger === undefined ? [] : await readLedger(scenario.ledger), scenario.seconds)
    process.stdout.write(`\n${formatReport(report)}\n`)
    const result = { scenario: args.scenario, seed: scenario.seed, ...report }
    if (args.json !== undefined) writeFileSync(args.json, JSON.stringify(result, null, 2))
  }
})

async function readLedger (address: string): Promise<Run[]> {
  const answer = await request(`http://${address}/ledger`)
  return await answer.body.json() as Run[]
}

run(program, process.argv.slice(2)).catch(fail)
