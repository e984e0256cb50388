/**
 * Structured logs: one JSON line for each record, written by consola. Records
 * are typed objects by channel. Frequent refusals are sampled and counted so
 * that the log stays bounded under overload.
 */
import { createConsola, LogLevels, type ConsolaInstance, type LogObject } from 'consola'
import { LineSink, standardOutput } from './line-sink.ts'
import { type LogRecord } from './records.ts'

export * from './line-sink.ts'
export * from './records.ts'

export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

export interface LoggerOptions {
  /** The program's name, on each line. */
  program: string
  box: string
  level?: LogLevel
  /** Where lines go; standard output unless a test or the demo asks for them. */
  write?: (line: string) => void
}

export interface Logger {
  debug (record: LogRecord): void
  info (record: LogRecord): void
  warn (record: LogRecord): void
  error (record: LogRecord): void
  /** Logs a record of which there may be many: at most `SAMPLE_PER_SECOND` lines a second for each key, with a count of the rest. */
  sampled (key: string, record: LogRecord): void
}

const SAMPLE_PER_SECOND = 20
const SAMPLE_WINDOW_MS = 1000

export function createLogger (options: LoggerOptions): Logger {
  const write = options.write ?? boundedOutput(options)
  const consola = createConsola({
    level: LogLevels[options.level ?? 'info'],
    throttle: 0,
    reporters: [{ log: (entry) => write(formatLine(entry, options)) }]
  })
  return new JsonLogger(consola)
}

/** Lines left out by the output of this process; for its metrics. */
export function droppedLines (): number {
  return output?.dropped ?? 0
}

let output: LineSink | undefined

/** One output for the whole process, however many loggers it has. */
function boundedOutput ({ program, box }: LoggerOptions): (line: string) => void {
  output ??= new LineSink({
    stream: standardOutput(),
    droppedLine: (dropped) => `${JSON.stringify({
      time: new Date().toISOString(), level: 'warn', program, box, channel: 'process', event: 'lines-dropped', why: `${dropped} lines`
    })}\n`
  })
  const sink = output
  return (line) => sink.write(line)
}

/** A logger that drops everything, for tests. */
export function silentLogger (): Logger {
  return createLogger({ program: 'test', box: 'test', write: () => {} })
}

class JsonLogger implements Logger {
  private readonly windows = new Map<string, SampleWindow>()

  constructor (private readonly consola: ConsolaInstance) {}

  debug (record: LogRecord): void { this.consola.debug(record) }
  info (record: LogRecord): void { this.consola.info(record) }
  warn (record: LogRecord): void { this.consola.warn(record) }
  error (record: LogRecord): void { this.consola.error(record) }

  sampled (key: string, record: LogRecord): void {
    const now = performance.now()
    const window = this.windows.get(key)
    if (window === undefined || now - window.startedAt >= SAMPLE_WINDOW_MS) {
      this.windows.set(key, { startedAt: now, lines: 1, suppressed: 0 })
      const suppressed = window?.suppressed ?? 0
      this.consola.info(suppressed > 0 ? { ...record, suppressedBefore: suppressed } : record)
      return
    }
    if (window.lines < SAMPLE_PER_SECOND) {
      window.lines += 1
      this.consola.info(record)
      return
    }
    window.suppressed += 1
  }
}

interface SampleWindow {
  startedAt: number
  lines: number
  suppressed: number
}

function formatLine (entry: LogObject, options: LoggerOptions): string {
  const record = entry.args[0] as object
  return `${JSON.stringify({
    time: entry.date.toISOString(), level: entry.type, program: options.program, box: options.box, ...record
  })}\n`
}
