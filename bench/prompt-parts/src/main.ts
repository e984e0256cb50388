/** `npm run bench:parts`: what the evidence for and against parts of prompts costs, at its limits. */
import { PartObserver } from '@gullwall/endpoint.crashes'
import { findPartCauses, findSharedParts, HeldParts, nameOfPart, PartEvidence, type PartAtCrash } from '@gullwall/routing.quarantine'
import { encode } from '../../../transport/link/src/codec.ts'

const CALLS = 200_000
const PARTS = ['5c1e07a2', '91bd3f06', 'c20f5d11', 'e4402b7d']
const ORGANISATIONS = 40
const CRASHES = 128
const PAIRS = 256
const JUDGEMENTS = 50

/** Returns the mean time of a call, in microseconds. */
function measure (calls: number, call: (index: number) => void): number {
  const begunAt = performance.now()
  for (let index = 0; index < calls; index += 1) call(index)
  return 1000 * (performance.now() - begunAt) / calls
}

function tell (what: string, figure: string): void {
  process.stdout.write(`${what}: ${figure}\n`)
}

const observer = new PartObserver({ links: () => [], findReleasable: () => [] })
const held = new HeldParts('box-1')
const requests = Array.from({ length: 1000 }, (_unused, index) => findSharedParts([PARTS[0] ?? '', PARTS[1] ?? '', `${index}`, `own-${index}`]))
const partsOf = (index: number) => requests[index % requests.length] ?? []

tell('ids of a prompt of four parts', `${measure(CALLS, () => findSharedParts(PARTS)).toFixed(2)} us`)
const recordUs = measure(CALLS, (index) => {
  observer.recordRun(partsOf(index).map((id) => nameOfPart('assistant', id)), `organisation-${index % ORGANISATIONS}`, index)
})
tell('a request that ran well', `${recordUs.toFixed(2)} us`)
tell('a look-up, nothing held', `${measure(CALLS, (index) => held.find({}, { parts: partsOf(index), organisation: 'o' }, 'assistant')).toFixed(3)} us`)
held.replace(new Map([['assistant/0', { part: 'assistant/0', crashes: 5, failedProbes: 0 }]]))
tell('a look-up, one part held', `${measure(CALLS, (index) => held.find({}, { parts: partsOf(index), organisation: 'o' }, 'assistant')).toFixed(2)} us`)

const evidence = new PartEvidence()
for (let crash = 0; crash < CRASHES; crash += 1) {
  const parts = Array.from({ length: PAIRS }, (_unused, index): PartAtCrash => [
    nameOfPart('assistant', index < PAIRS / 2 ? `${10_000_000 + index}` : `${20_000_000 + crash * PAIRS + index}`),
    `organisation-${index % ORGANISATIONS}`, index % 3
  ])
  if (crash === 0) {
    tell('a report of one crash', `${encode({ kind: 'crashes', crashes: [{ endpoint: 'i-1', requests: [], parts }], ranWell: [] }).length} bytes`)
  }
  evidence.recordCrashes([{ endpoint: `i-${crash}`, parts }])
  if (crash % 2 === 0) evidence.beginRound()
}
tell('the evidence in a snapshot, full', `${Math.round(JSON.stringify(evidence.createSnapshot()).length / 1024)} KB`)
const judgeUs = measure(JUDGEMENTS, () => findPartCauses({
  evidence, held: [], isExplainedByRequest: () => false, agesOf: () => ({ suspectMs: 0, candidateMs: 0 })
}))
tell('a judgement of it', `${(judgeUs / 1000).toFixed(1)} ms`)
tell('its suspects', `${(measure(JUDGEMENTS, () => evidence.findSuspects()) / 1000).toFixed(1)} ms`)
const suspects = evidence.findSuspects().map(({ part }) => ({ part, sinceMs: 1000 }))
tell(`a message of ${suspects.length} suspects`, `${encode({ kind: 'suspectParts', suspects }).length} bytes`)
