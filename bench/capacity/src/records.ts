/** Memory of the records a process holds. */
import { silentLogger } from '@gullwall/core.logger'
import { RevisionStore } from '@gullwall/config.spread'
import { newOrganisationKey, type RecordChange } from '@gullwall/config.records'
import { fit, type Fit } from './fit.ts'

const COUNTS = [3300, 11_000, 33_000]
const CHANGES_PER_REVISION = 100

/** Bytes of heap for each organisation's record. Run with --expose-gc. */
export function measureRecordMemory (): Fit {
  const points = COUNTS.map((count) => {
    const before = heapBytes()
    const store = new RevisionStore({ logger: silentLogger() })
    fill(store, count)
    const y = heapBytes() - before
    // The store must live until here.
    if (store.records.size !== count) throw new Error('records are missing')
    return { x: count, y }
  })
  return fit(points)
}

function fill (store: RevisionStore, count: number): void {
  const { hash } = newOrganisationKey('o')
  for (let first = 0, revision = 1; first < count; first += CHANGES_PER_REVISION, revision++) {
    const changes = Array.from({ length: CHANGES_PER_REVISION }, (_, index): RecordChange => ({
      key: `organisation/organisation-${first + index}`,
      value: JSON.stringify({
        keys: [hash], classes: ['interactive', 'batch'], weight: 1, ratePerSecond: 50, burst: 100, maxInFlight: 200, selector: '', labels: { desk: `d${index}` }
      })
    }))
    store.apply(revision, changes)
  }
}

function heapBytes (): number {
  const collect = (globalThis as { gc?: () => void }).gc
  if (collect === undefined) throw new Error('run node with --expose-gc')
  collect()
  return process.memoryUsage().heapUsed
}
