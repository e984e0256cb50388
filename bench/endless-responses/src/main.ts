/** `npm run bench:endless`: what responses without end cost a gateway and the sound requests beside them. */
import { writeFileSync } from 'node:fs'
import { loadavg } from 'node:os'
import { array, command, flag, multioption, number, option, optional, run, string } from 'cmd-ts'
import { fail } from '@gullwall/core.kernel/program'
import { formatTable, measurePlace, PLACES, type Measurement } from './index.ts'

const program = command({
  name: 'bench-endless',
  description: 'Measures a gateway under responses without end.\nExample: npm run bench:endless -- --place event --seconds 4 --seed 1',
  args: {
    seed: option({ type: number, long: 'seed', description: 'the times of the sound requests', defaultValue: () => Math.floor(Math.random() * 1e6) }),
    seconds: option({ type: number, long: 'seconds', description: 'how long requests are sent', defaultValue: () => 6 }),
    names: multioption({ type: array(string), long: 'place', description: 'only this place; may be given several times' }),
    atOnce: option({ type: optional(number), long: 'at-once', description: 'number of endless responses at once, by default 60' }),
    rate: option({ type: optional(number), long: 'rate', description: 'number of sound requests a second, by default 100' }),
    programs: option({ type: optional(string), long: 'program', description: 'folder of the built programs, by default dist/' }),
    hasDetails: flag({ long: 'details', description: 'also ask the gateway for the parts of its memory' }),
    json: option({ type: optional(string), long: 'json', description: 'write the results to this file' })
  },
  handler: async ({ seed, seconds, names, atOnce, rate, programs, hasDetails, json }) => {
    const unknown = names.filter((name) => !PLACES.some((place) => place.name === name))
    if (unknown.length > 0) throw new Error(`no place ${unknown.join(', ')}; there are ${PLACES.map(({ name }) => name).join(', ')}`)
    const places = names.length === 0 ? PLACES : PLACES.filter(({ name }) => names.includes(name))
    process.stdout.write(`seed ${seed}, ${seconds} s for each place\n`)
    const measurements: Measurement[] = []
    for (const place of places) {
      measurements.push(await measurePlace(place, { seed, seconds, atOnce, soundPerSecond: rate, programs, hasDetails }))
      process.stdout.write(`${place.name}: done, load averages ${loadavg().map((load) => load.toFixed(1)).join(' ')}\n`)
    }
    process.stdout.write(`${formatTable(measurements)}\n`)
    if (json !== undefined) writeFileSync(json, JSON.stringify({ seed, seconds, measurements }, null, 2))
  }
})

run(program, process.argv.slice(2)).catch(fail)
