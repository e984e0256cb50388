import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { MESSAGE_SCHEMAS, parseMessage, type Message } from '../src/index.ts'

/** Messages as a landed build made them with its own code, and all kinds that it knew. */
interface Recorded {
  build: string
  kinds: string[]
  messages: Message[]
}

const folder = join(import.meta.dirname, 'builds')
const builds = readdirSync(folder).map((file) => JSON.parse(readFileSync(join(folder, file), 'utf8')) as Recorded)

/** Kinds that have come since the recorded builds, and what becomes of them at a process that does not know them. */
const SINCE: Record<string, string> = {
  limits: 'passed over: a control process that does not know limits tells nobody of them',
  streamBuilds: 'passed over: a control process that does not know builds holds no bindings',
  streamBuildOf: 'not answered: who asks waits for the others, and does not go on with a stream that none of them knows',
  onlyBuildOf: 'not answered: the same',
  suspectParts: 'passed over: an entry that does not know parts of prompts tells nobody which ran well',
  partRuns: 'passed over: a control process that does not know parts of prompts has told no suspects',
  snapshotPart: 'never sent there: a leader sends `install` to a member whose answers do not say that it takes parts of bytes',
  streamBuild: 'never sent there: it answers a question that only entries ask'
}

describe.each(builds)('messages of build $build', ({ kinds, messages }) => {
  it('mean the same to this one', () => {
    for (const message of messages) expect(parseMessage(message)).toEqual({ ok: true, message })
  })

  it('are of kinds that are all still known, and each new kind says what becomes of it there', () => {
    const known = Object.keys(MESSAGE_SCHEMAS)
    expect(kinds.filter((kind) => !known.includes(kind))).toEqual([])
    expect(known.filter((kind) => !kinds.includes(kind)).sort()).toEqual(Object.keys(SINCE).sort())
  })
})

describe('a message with what older builds do not know', () => {
  it('is the same to them without it', () => {
    const [recorded] = builds
    const messageOf = (kind: string) => recorded?.messages.find((message) => message.kind === kind) as never
    const { leases } = messageOf('leases') as { leases: object[] }
    const { wishes } = messageOf('coldAsk') as { wishes: object[] }
    const withLimit = { kind: 'leases', leases: leases.map((lease) => ({ ...lease, limit: { perSecond: 2, sentAgoMs: 9, heardAgoMs: 4 } })) }
    const withBuild = { kind: 'leases', leases: leases.map((lease) => ({ ...lease, build: 'v1' })) }
    const withWish = { kind: 'coldAsk', entry: 'e1', wishes: wishes.map((wish) => ({ ...wish, perSecond: 2, isWarm: true })) }
    expect(parseMessage(withLimit)).toEqual({ ok: true, message: withLimit })
    expect(parseMessage(withBuild)).toEqual({ ok: true, message: withBuild })
    expect(parseMessage(withWish)).toEqual({ ok: true, message: withWish })
    const withParts = { kind: 'crashes', crashes: [{ endpoint: 'i-1', requests: ['f'], parts: [['app/a', 'o', 0]] }], ranWell: [] }
    expect(parseMessage(withParts)).toEqual({ ok: true, message: withParts })
    // A field that a build does not know is left out when it reads a message, as here.
    const [lease] = leases
    expect(parseMessage({ kind: 'leases', leases: [{ ...lease, yetUnknown: 1 }] })).toEqual({ ok: true, message: { kind: 'leases', leases: [lease] } })
  })
})
