/** What is sent and answered, so that both ends can tell a whole answer of a request from any other bytes. */

const MAX_FILLER = 4000
const MIN_EVENTS = 5
const MORE_EVENTS = 12
const HASH_FACTOR = 31
const HASH_RANGE = 65_521
const EVENT = /id: (\d+)\ndata: \1 of (\d+) for (\S+) by (\S+)\n\n/y

/** The builds of the engines; what two of them write differs. */
export const BUILDS = ['build-1', 'build-2'] as const

/** The request whose stream a path names: the one that began it, also where the caller takes it up with another. */
export function subjectOf (path: string): string {
  return path.slice(path.lastIndexOf('/') + 1)
}

export function sentBody (subject: string): string {
  return `question of ${subject}`
}

/** The whole answer of one run of a request. */
export function answerBody (id: string, serial: number): string {
  return `${id} run ${serial} ${'x'.repeat((serial * HASH_FACTOR) % MAX_FILLER)} end of ${id}`
}

/** How many events a stream has, whichever engine runs it. */
export function eventCount (subject: string): number {
  let hash = 0
  for (const character of subject) hash = (hash * HASH_FACTOR + character.charCodeAt(0)) % HASH_RANGE
  return MIN_EVENTS + hash % MORE_EVENTS
}

export function eventOf (subject: string, number: number, build: string): string {
  return `id: ${number}\ndata: ${number} of ${eventCount(subject)} for ${subject} by ${build}\n\n`
}

/** The events of a stream behind one of them, until its end. */
export function eventsBehind (subject: string, last: number, build: string): string {
  return Array.from({ length: Math.max(0, eventCount(subject) - last) }, (_, index) => eventOf(subject, last + index + 1, build)).join('')
}

/** The builds of the events of a stream behind one of them, in their order; undefined if it is not just such events. */
export function buildsOfEvents (subject: string, after: number, body: string): string[] | undefined {
  const builds: string[] = []
  let offset = 0
  while (offset < body.length) {
    EVENT.lastIndex = offset
    const match = EVENT.exec(body)
    const [text = '', number, count, of, build = ''] = match ?? []
    const isNext = Number(number) === after + builds.length + 1
    if (match === null || !isNext || Number(count) !== eventCount(subject) || of !== subject) return undefined
    builds.push(build)
    offset += text.length
  }
  return builds.length + after <= eventCount(subject) ? builds : undefined
}
