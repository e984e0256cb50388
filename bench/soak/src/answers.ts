/** What is sent and answered, so that both ends can tell a whole answer of a request from any other bytes. */

const MAX_FILLER = 4000
const MIN_EVENTS = 5
const MORE_EVENTS = 12
const HASH_FACTOR = 31
const HASH_RANGE = 65_521

export function sentBody (id: string): string {
  return `question of ${id}`
}

/** The whole answer of one run of a request. */
export function answerBody (id: string, serial: number): string {
  return `${id} run ${serial} ${'x'.repeat((serial * HASH_FACTOR) % MAX_FILLER)} end of ${id}`
}

/** How many events the stream of a request has, whichever engine runs it. */
export function eventCount (id: string): number {
  let hash = 0
  for (const character of id) hash = (hash * HASH_FACTOR + character.charCodeAt(0)) % HASH_RANGE
  return MIN_EVENTS + hash % MORE_EVENTS
}

export function eventOf (id: string, number: number): string {
  return `id: ${number}\ndata: ${number} of ${eventCount(id)} for ${id}\n\n`
}

/** The events of a whole stream up to one of them. */
export function events (id: string, until: number): string {
  return Array.from({ length: until }, (_, index) => eventOf(id, index + 1)).join('')
}
