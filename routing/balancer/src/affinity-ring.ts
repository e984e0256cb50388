/**
 * The affinity endpoint of a prompt on a large fleet. Plain rendezvous hashing would hash the name of every endpoint. Here a shared
 * prefix has a point on a hash ring, and rendezvous hashing chooses among the few endpoints that follow the point. Entries agree
 * without exchanging messages, and removing an endpoint moves few prefixes besides its own.
 */
import { type EndpointState } from './endpoint-state.ts'
import { hashPair, hashName } from './rendezvous.ts'
import { type SortedList } from './sorted-list.ts'

/** The number of endpoints to choose among. More of them spread prefixes more evenly; with 16, shares vary by a quarter. */
const WINDOW = 16
/** The most endpoints to visit, since only few of them may be allowed. */
const MAX_VISITED = 16 * WINDOW

/** A position on the ring of one data centre. */
interface Cursor {
  ring: SortedList<EndpointState>
  at: number
  passed: number
}

/** Returns the affinity endpoint among the allowed endpoints on some rings; undefined if none is near the point. */
export function findAffinityEndpoint (
  sharedPrefixId: string, rings: ReadonlyArray<SortedList<EndpointState>>, isAllowed: (endpoint: EndpointState) => boolean
): EndpointState | undefined {
  const point = hashName(sharedPrefixId)
  const cursors = rings.map((ring): Cursor => ({ ring, at: ring.lowerBound(point), passed: 0 }))
  let selected: EndpointState | undefined
  let highest = -1
  let found = 0
  for (let visited = 0; visited < MAX_VISITED && found < WINDOW; visited += 1) {
    const cursor = nextCursor(cursors, point)
    if (cursor === undefined) break
    const index = cursor.at % cursor.ring.items.length
    const endpoint = cursor.ring.items[index]
    cursor.at += 1
    cursor.passed += 1
    if (endpoint === undefined || !isAllowed(endpoint)) continue
    found += 1
    const hash = hashPair(point, cursor.ring.keys[index] ?? 0)
    if (hash <= highest) continue
    highest = hash
    selected = endpoint
  }
  return selected
}

/** Returns the ring whose next endpoint follows the point most closely. */
function nextCursor (cursors: readonly Cursor[], point: number): Cursor | undefined {
  let next: Cursor | undefined
  let least = Infinity
  for (const cursor of cursors) {
    const { ring: { keys }, at, passed } = cursor
    if (passed >= keys.length) continue
    const distance = ((keys[at % keys.length] ?? 0) - point) >>> 0
    if (distance >= least) continue
    least = distance
    next = cursor
  }
  return next
}
