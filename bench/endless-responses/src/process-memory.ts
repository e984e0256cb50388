/** What the system and a gateway itself say of the gateway's memory and processor time. */
import { readFileSync } from 'node:fs'
import { request } from 'undici'

const KIB = 1024
/** Unit of processor time in `/proc`, in s. */
const TICK_SECONDS = 0.01
/** Fields of `/proc/PID/stat` behind the name of the program. */
const USER_TICKS = 11
const SYSTEM_TICKS = 12
const SAMPLE_INTERVAL_MS = 200

export interface ProcessUse {
  residentBytes: number
  peakBytes: number
  cpuSeconds: number
}

export function readUse (pid: number): ProcessUse {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const bytesOf = (name: string) => Number(new RegExp(`^${name}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1] ?? 0) * KIB
  return {
    residentBytes: bytesOf('VmRSS'),
    peakBytes: bytesOf('VmHWM'),
    cpuSeconds: (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) * TICK_SECONDS
  }
}

/** The most of each part of its memory that a process has reported. */
export interface MemoryDetails {
  heapBytes: number
  externalBytes: number
}

/** Reads the metrics of a process again and again; the result ends that. */
export function watchDetails (admin: string): () => MemoryDetails {
  const most: MemoryDetails = { heapBytes: 0, externalBytes: 0 }
  const sample = async (): Promise<void> => {
    const text = await (await request(`http://${admin}/metrics`)).body.text()
    const read = (name: string) => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
    most.heapBytes = Math.max(most.heapBytes, read('nodejs_heap_size_total_bytes'))
    most.externalBytes = Math.max(most.externalBytes, read('nodejs_external_memory_bytes'))
  }
  // A process without spare time may leave a request unanswered; the next sample stands for it.
  const timer = setInterval(() => { sample().catch(() => {}) }, SAMPLE_INTERVAL_MS)
  return () => {
    clearInterval(timer)
    return most
  }
}
