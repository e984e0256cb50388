/** What every program does alike: refuse unfit surroundings, start, and stop on a signal. */
import { errorRecord, GullwallError } from '@gullwall/core.error'
import { takeEarlySignals } from './early-signals.ts'
import { type Kernel } from './index.ts'

/** Exit code for wrong settings or records. */
export const EXIT_BAD_CONFIGURATION = 2
const EXIT_FAILURE = 1

/** Refuses to run where io_uring is switched on: files must go through ordinary system calls. */
export function assertRuntime (env: NodeJS.ProcessEnv = process.env): void {
  if (env['UV_USE_IO_URING'] === '1') {
    throw new GullwallError('ERR_GULLWALL_IO_URING', 'UV_USE_IO_URING is 1', {
      step: 'start', hint: 'unset UV_USE_IO_URING or set it to 0'
    })
  }
}

/** Told of the life of a program, for its log and for what follows the start. */
export interface ProgramWatch {
  started: () => void
  stopping: () => void
}

/** Starts a kernel and stops it once on SIGTERM or SIGINT; the process then ends with code 0. */
export async function runProgram<Services extends object> (kernel: Kernel<Services>, watch?: ProgramWatch): Promise<void> {
  let stopping = false
  // The default for this signal ends the process, also while it still starts.
  process.on('SIGHUP', () => {})
  const stop = () => {
    if (stopping) return
    stopping = true
    watch?.stopping()
    kernel.stop().then(() => process.exit(0), fail)
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
  // A signal to read settings again has nothing to do here: they were read after it, or are looked at again soon.
  const early = takeEarlySignals()
  if (early.has('SIGTERM') || early.has('SIGINT')) {
    stop()
    return
  }
  await kernel.start()
  if (!stopping) watch?.started()
}

/** Prints an error as one JSON line and ends the process. */
export function fail (error: unknown): never {
  const record = errorRecord(error)
  process.stderr.write(`${JSON.stringify({ level: 'fatal', ...record })}\n`)
  process.exit(record.code === 'ERR_GULLWALL_BAD_CONFIGURATION' ? EXIT_BAD_CONFIGURATION : EXIT_FAILURE)
}
