/** `npm run bench`: policies against each other; prints a table and writes JSON. */
import { writeFileSync } from 'node:fs'
import { command, flag, multioption, number, option, optional, run, string, array, oneOf } from 'cmd-ts'
import { fail } from '@gullwall/core.kernel/program'
import { type SampleName } from '@gullwall/bench.samples'
import { createPlan, FLEETS, LOADS, measureChoices, POLICIES, runExperiment, VARIANTS, type ExperimentResult, type Policy, type Variant } from '@gullwall/bench.experiment'

const DEPLOYMENTS: SampleName[] = ['parts-catalogue', 'order-desk']

const program = command({
  name: 'bench',
  description: 'Measures policies against each other.\nExample: npm run bench -- --quick --json quick.json',
  args: {
    choice: flag({ long: 'choice', description: 'only what one choice of an endpoint costs, by the number of endpoints; under a minute' }),
    endpoints: multioption({ type: array(number), long: 'endpoints', description: 'with --choice: only these numbers of endpoints' }),
    quick: flag({ long: 'quick', description: 'one case, under a minute' }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 15, description: 'length of each load' }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1, description: 'seed of the arrivals' }),
    json: option({ type: optional(string), long: 'json', description: 'write the results to this file' }),
    deployment: multioption({ type: array(oneOf(DEPLOYMENTS)), long: 'deployment', description: 'only these deployments' }),
    policy: multioption({ type: array(oneOf(POLICIES)), long: 'policy', description: 'only these policies' }),
    load: multioption({ type: array(number), long: 'load', description: 'only these loads' }),
    variant: multioption({ type: array(oneOf(VARIANTS)), long: 'variant', description: 'only these variants' })
  },
  handler: async (args) => {
    printChoices(orAll<number>(args.endpoints, FLEETS), args.seed)
    if (args.choice) return
    const plan = createPlan({
      quick: args.quick,
      seconds: args.seconds,
      seed: args.seed,
      deployments: orAll<SampleName>(args.deployment, DEPLOYMENTS),
      policies: orAll<Policy>(args.policy, POLICIES),
      loads: orAll<number>(args.load, LOADS),
      variants: orAll<Variant>(args.variant, VARIANTS)
    })
    print('deployment | load | variant | policy | attainment interactive / standard / batch | goodput | wasted | wrong | failed')
    print('--- | --- | --- | --- | --- | --- | --- | --- | ---')
    const results: ExperimentResult[] = []
    for (const experiment of plan) {
      const result = await runExperiment(experiment)
      results.push(result)
      print(formatResult(result))
      if (args.json !== undefined) writeFileSync(args.json, JSON.stringify(results, null, 2))
    }
  }
})

function printChoices (fleets: readonly number[], seed: number): void {
  print(`endpoints | ms a choice | times the first | ms a look at work (each 60 ms) | tokens to read (seed ${seed})`)
  print('--- | --- | --- | --- | ---')
  const costs = measureChoices({ endpoints: fleets, seed })
  for (const { endpoints, choiceMs, lookMs, unreadTokens } of costs) {
    const times = choiceMs / (costs[0]?.choiceMs ?? choiceMs)
    print([endpoints, choiceMs.toFixed(3), times.toFixed(2), lookMs.toFixed(3), unreadTokens.toFixed(0)].join(' | '))
  }
  print('')
}

function orAll<T> (chosen: readonly T[], all: readonly T[]): T[] {
  return chosen.length > 0 ? [...chosen] : [...all]
}

function formatResult ({ deployment, load, variant, policy, report }: ExperimentResult): string {
  const attainment = ['interactive', 'standard', 'batch'].map((name) => percent(report.classes.find((row) => row.class === name)?.attainment ?? 0))
  const total = (field: 'wrong' | 'failed') => report.classes.reduce((sum, row) => sum + row[field], 0)
  return [
    deployment, percent(load), variant, policy, attainment.join(' / '), report.goodput.toFixed(1), percent(report.wasted), total('wrong'), total('failed')
  ].join(' | ')
}

function percent (share: number): string {
  return `${(share * 100).toFixed(1)}%`
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

run(program, process.argv.slice(2)).catch(fail)
