/** `npm run bench:latency`: what entry and sidecar add, and what a token costs the entry. */
import { writeFileSync } from 'node:fs'
import { command, option, optional, run, string } from 'cmd-ts'
import { fail } from '@gullwall/core.kernel/program'
import { measureAddedLatency, measureThroughput, type AddedLatency, type Throughput } from '@gullwall/bench.latency'

const IN_FLIGHT = [1, 100, 1000]

const program = command({
  name: 'bench-latency',
  description: 'Measures added latency and throughput of one entry.\nExample: npm run bench:latency -- --json latency.json',
  args: { json: option({ type: optional(string), long: 'json', description: 'write the results to this file' }) },
  handler: async ({ json }) => {
    const latencies: AddedLatency[] = []
    for (const inFlight of IN_FLIGHT) {
      const measured = await measureAddedLatency(inFlight)
      latencies.push(measured)
      process.stdout.write(`${inFlight} in flight: first token direct p50 ${show(measured.direct.p50)} p99 ${show(measured.direct.p99)} ms, ` +
        `through p50 ${show(measured.through.p50)} p99 ${show(measured.through.p99)} ms, added p50 ${show(measured.addedP50)} ms\n`)
    }
    const throughput: Throughput = await measureThroughput()
    process.stdout.write(`${JSON.stringify(throughput, null, 2)}\n`)
    if (json !== undefined) writeFileSync(json, JSON.stringify({ latencies, throughput }, null, 2))
  }
})

function show (ms: number): string {
  return ms.toFixed(2)
}

run(program, process.argv.slice(2)).catch(fail)
