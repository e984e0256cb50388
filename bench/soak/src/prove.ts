/** Shows that every check can fail: runs each mutation under the faults that bring it about, until its check catches it. */
import { rmSync } from 'node:fs'
import { MUTATIONS, type Mutation } from './mutations.ts'
import { soak } from './soak.ts'

export interface Proof {
  mutation: Mutation
  isCaught: boolean
  /** What the check said. */
  what: string
}

const FAULTS_MS = 20_000
const PROCESSES = 5

export interface ProveOptions {
  seed: number
  /** Names of mutations; all where none are given. */
  names?: readonly string[]
  tell: (line: string) => void
}

/** Runs one mutation after the other. */
export async function prove ({ seed, names, tell }: ProveOptions): Promise<Proof[]> {
  const proofs: Proof[] = []
  for (const mutation of MUTATIONS.filter(({ name }) => names === undefined || names.includes(name))) {
    const { name, check, faults } = mutation
    const { violations, folder } = await soak({ seed, durationMs: FAULTS_MS, processes: PROCESSES, kinds: faults, mutation, stopAt: check })
    rmSync(folder, { recursive: true, force: true })
    const caught = violations.find((violation) => violation.check === check)
    proofs.push({ mutation, isCaught: caught !== undefined, what: caught?.what ?? '' })
    tell(`${caught === undefined ? 'NOT CAUGHT' : 'caught'} ${name} by ${check}: ${caught?.what ?? violations.map((other) => other.check).join(', ')}`)
  }
  return proofs
}
