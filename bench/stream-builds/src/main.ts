/** Prints the figures of `npm run bench:builds`. */
import { command, number, option, run } from 'cmd-ts'
import { measureRate, measureRecord } from './index.ts'

/** Streams that one gateway begins a second: of today's deployments, at the largest size, and beyond. */
const RATES = [5, 116, 500]
const RECORDS_IN_MESSAGE = [1, 6, 50]

await run(command({
  name: 'bench:builds',
  args: { seconds: option({ type: number, long: 'seconds', defaultValue: () => 10 }) },
  handler: async ({ seconds }) => {
    for (const rate of RATES) {
      const { bindUs, messagesPerSecond, bytesPerSecond, askMs } = await measureRate(rate, seconds)
      console.log(
        `${rate} streams/s: ${bindUs.toFixed(1)} µs at the first event, ${messagesPerSecond.toFixed(1)} messages/s, ` +
        `${Math.round(bytesPerSecond)} bytes/s; a question takes ${askMs.median.toFixed(2)} ms, p95 ${askMs.p95.toFixed(2)}`
      )
    }
    for (const count of RECORDS_IN_MESSAGE) console.log(`${count} records a message: ${(await measureRecord(count)).toFixed(2)} µs a record at control`)
    process.exit(0)
  }
}), process.argv.slice(2))
