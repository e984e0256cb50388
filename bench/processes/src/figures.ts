/** What a program says of its own use of the machine, and quantiles of measured values. */
import { request } from 'undici'

export interface ProgramFigures {
  /** Processor time since the start, in seconds. */
  cpu: number
  /** Resident memory in bytes. */
  memory: number
  /** Bytes on links since the start, both ways. */
  bytes: number
}

/** Reads a program's figures from its metrics. */
export async function figures (admin: string): Promise<ProgramFigures> {
  const text = await (await request(`http://${admin}/metrics`)).body.text()
  const read = (name: string) => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
  return {
    cpu: read('process_cpu_seconds_total'),
    memory: read('process_resident_memory_bytes'),
    bytes: read('gullwall_link_sent_bytes_total') + read('gullwall_link_received_bytes_total')
  }
}

export interface Quantiles {
  p50: number
  p99: number
  worst: number
}

export function quantiles (values: readonly number[]): Quantiles {
  const sorted = [...values].sort((left, right) => left - right)
  const at = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
  return { p50: at(0.5), p99: at(0.99), worst: at(1) }
}
