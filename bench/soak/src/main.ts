/** `npm run soak -- --seed 1 --minutes 1 --processes 6`: one run, its faults and what was broken on standard output. */
import { array, command, flag, multioption, number, option, optional, run, string } from 'cmd-ts'
import { FAULTS, MUTATIONS, prove, soak, type FaultKind } from './index.ts'

const MINUTE_MS = 60_000
const BYTES_PER_MB = 1_000_000

const program = command({
  name: 'soak',
  description: 'Runs the real programs under faults from outside.\nExample: npm run soak -- --seed 1 --minutes 1 --processes 6',
  args: {
    seed: option({ type: number, long: 'seed', description: 'the series of faults', defaultValue: () => Math.floor(Math.random() * 1e6) }),
    minutes: option({ type: number, long: 'minutes', description: 'how long faults are injected', defaultValue: () => 1 }),
    processes: option({ type: number, long: 'processes', description: 'gateways and control processes', defaultValue: () => 6 }),
    slack: option({ type: number, long: 'slack', description: 'multiplies the bounds, on a loaded machine', defaultValue: () => 1 }),
    mutation: option({ type: optional(string), long: 'mutation', description: 'a deliberate fault of the programs' }),
    proves: flag({ long: 'prove', description: 'run every mutation, or the one that is named, until its check catches it' }),
    from: option({ type: optional(string), long: 'from', description: 'a commit whose programs run at first, and are replaced meanwhile' }),
    kinds: multioption({ type: array(string), long: 'fault', description: 'only this kind of fault; may be given several times' })
  },
  handler: async ({ seed, minutes, processes, slack, mutation: wanted, proves, from, kinds }) => {
    const mutation = MUTATIONS.find(({ name }) => name === wanted)
    if (wanted !== undefined && mutation === undefined) throw new Error(`no mutation ${wanted}; there are ${MUTATIONS.map(({ name }) => name).join(', ')}`)
    const unknown = kinds.filter((kind) => !(kind in FAULTS))
    if (unknown.length > 0) throw new Error(`no fault ${unknown.join(', ')}; there are ${Object.keys(FAULTS).join(', ')}`)
    if (proves) {
      const proofs = await prove({ seed, names: wanted === undefined ? undefined : [wanted], tell: (line) => console.log(line) })
      process.exitCode = proofs.every(({ isCaught }) => isCaught) ? 0 : 1
      return
    }
    console.log(`seed ${seed}, ${minutes} min, ${processes} processes${wanted === undefined ? '' : `, mutation ${wanted}`}`)
    const verdict = await soak({
      seed,
      durationMs: minutes * MINUTE_MS,
      processes,
      slack,
      mutation,
      from,
      kinds: kinds.length > 0 ? kinds as FaultKind[] : undefined,
      tell: (line) => console.log(line)
    })
    const { violations, plan, attempts, served, outcomes, done, takeUps, runs, orders, misconduct, peakBytes, folder } = verdict
    console.log(`${plan.length} faults, ${attempts} requests, ${served} served, ${runs} runs, ${orders} orders, ${violations.length} broken`)
    console.log(`how requests ended: ${told(outcomes)}`)
    console.log(`how streams were taken up: ${told(takeUps)}`)
    console.log(`what was done: ${told(done)}`)
    console.log(`what engines did: ${told(misconduct) || 'nothing amiss'}; most memory of a gateway: ${Math.round(peakBytes / BYTES_PER_MB)} MB`)
    if (violations.length > 0) console.log(`logs and disks: ${folder}`)
    process.exitCode = violations.length > 0 ? 1 : 0
  }
})

function told (counts: Record<string, number>): string {
  return Object.entries(counts).map(([name, count]) => `${name} ${count}`).join(', ')
}

await run(program, process.argv.slice(2))
// Connections that a fault left half open would keep this process for minutes; all others have ended by now.
process.exit()
