/** Watches how much memory the gateways have held. */
import { readFileSync } from 'node:fs'
import { type Site } from './site.ts'

const LOOK_MS = 1000
const KIB = 1024

/** Notes the peak of each gateway's resident memory from now on; the result ends it. */
export function watchMemory (site: Site): () => void {
  const timer = setInterval(() => {
    for (const { name, pid, isRunning } of site.gateways.values()) {
      const peakBytes = isRunning ? peakOf(pid) : undefined
      if (peakBytes !== undefined) site.journal.notePeak(name, peakBytes)
    }
  }, LOOK_MS)
  return () => clearInterval(timer)
}

/** The peak of a process's resident memory; undefined once it has ended. */
function peakOf (pid: number): number | undefined {
  try {
    const kib = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
    return kib === undefined ? undefined : Number(kib) * KIB
  } catch {
    // The process has ended since it was looked up.
    return undefined
  }
}
