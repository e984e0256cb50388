/**
 * The home of a subject on a large fleet. Today's rendezvous hashes the name of every endpoint; here a subject has a point on
 * a ring, and the rendezvous is among the few endpoints that follow it. Entries agree on it without talking to each other,
 * and losing an endpoint moves hardly more than its own subjects.
 */
import { type EndpointState } from './endpoint-state.ts'
import { hashPair, hashName } from './rendezvous.ts'
import { type SortedList } from './sorted-list.ts'

/** More make the endpoints' shares of the subjects more even: with so many an endpoint has a quarter more or less. */
const WINDOW = 16
/** So many endpoints are passed at most in search of them: few may be allowed. */
const MAX_LOOKS = 16 * WINDOW

/** A place on the ring of one data centre. */
interface Cursor {
  ring: SortedList<EndpointState>
  at: number
  passed: number
}

/** The home among the endpoints on some rings that are accepted; none if none is near. */
export function findAffinityEndpoint (
  subject: string, rings: ReadonlyArray<SortedList<EndpointState>>, accepts: (endpoint: EndpointState) => boolean
): EndpointState | undefined {
  const point = hashName(subject)
  const cursors = rings.map((ring): Cursor => ({ ring, at: ring.lowerBound(point), passed: 0 }))
  let home: EndpointState | undefined
  let highest = -1
  let found = 0
  for (let look = 0; look < MAX_LOOKS && found < WINDOW; look += 1) {
    const cursor = nearest(cursors, point)
    if (cursor === undefined) break
    const index = cursor.at % cursor.ring.items.length
    const endpoint = cursor.ring.items[index]
    cursor.at += 1
    cursor.passed += 1
    if (endpoint === undefined || !accepts(endpoint)) continue
    found += 1
    const rank = hashPair(point, cursor.ring.keys[index] ?? 0)
    if (rank <= highest) continue
    highest = rank
    home = endpoint
  }
  return home
}

/** The ring whose next endpoint follows the point most closely. */
function nearest (cursors: readonly Cursor[], point: number): Cursor | undefined {
  let first: Cursor | undefined
  let least = Infinity
  for (const cursor of cursors) {
    const { ring: { keys }, at, passed } = cursor
    if (passed >= keys.length) continue
    const distance = ((keys[at % keys.length] ?? 0) - point) >>> 0
    if (distance >= least) continue
    least = distance
    first = cursor
  }
  return first
}
