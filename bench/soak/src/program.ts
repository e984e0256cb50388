/** One program of the product as a process of its own. Signals go to its process id only. */
import { execFile, spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { type Journal, type ProcessEnd } from './journal.ts'

export interface ProgramOptions {
  name: string
  /** The built program. */
  file: string
  settings: string
  log: string
  journal: Journal
}

const HEAP_MIB = 120
/** A process that has not ended so long after it was asked to is killed, as a platform would, in ms. */
const STOP_MS = 12_000

export class Program {
  /** How many times it was started. */
  life = 0
  /** The built program that the next start runs. */
  file: string
  /** Somebody is stopping or starting it; others leave it alone meanwhile. */
  isBusy = false
  private child: ChildProcess | undefined
  private asked: { signal: 'SIGTERM' | 'SIGKILL', at: number } | undefined

  constructor (readonly options: ProgramOptions) {
    this.file = options.file
  }

  get name (): string {
    return this.options.name
  }

  get pid (): number {
    return this.child?.pid ?? 0
  }

  get isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  start (): void {
    const { file } = this
    const { settings, log } = this.options
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MIB}`, file, '--settings', settings], { stdio: ['ignore', 'pipe', 'pipe'] })
    const lines = createWriteStream(log, { flags: 'a' })
    child.stdout.pipe(lines, { end: false })
    child.stderr.pipe(lines, { end: false })
    child.once('exit', (code) => {
      lines.end()
      this.ended(code)
    })
    this.child = child
    this.asked = undefined
    this.life += 1
  }

  /** Sends a signal that the process survives. */
  signal (signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    if (this.isRunning) this.child?.kill(signal)
  }

  /** Asks the process to end, or ends it, and waits until it has. */
  async end (signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const { child } = this
    if (child === undefined || !this.isRunning) return
    this.asked = { signal, at: this.options.journal.now }
    const exited = once(child, 'exit')
    child.kill(signal)
    const impatience = setTimeout(() => child.kill('SIGKILL'), STOP_MS)
    await exited
    clearTimeout(impatience)
  }

  /** Lets files grow no further than so many bytes, as on a disk that is full; undefined takes that back. */
  async limitFiles (bytes: number | undefined): Promise<void> {
    if (!this.isRunning) return
    const limit = bytes === undefined ? 'unlimited' : `${bytes}:unlimited`
    await new Promise<void>((resolve) => {
      execFile('prlimit', ['--pid', String(this.pid), `--fsize=${limit}`], () => resolve())
    })
  }

  private ended (code: number | null): void {
    const { journal, name } = this.options
    const end: ProcessEnd = { who: name, at: journal.now, asked: this.asked?.signal, askedAt: this.asked?.at ?? journal.now, code }
    journal.ends.push(end)
  }
}
