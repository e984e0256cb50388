/** Guards against a promise for a request that ran, and against two runs, whatever an endpoint's response states (REFUSED, TWICE). */
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { IDS, MARKS, provesNotRun, SERVE, STATUSES, toPlayable, type EndpointCase } from './endpoint-cases.ts'
import { PromiseDeployment, PROMISES, type PathKind } from './promise-deployment.ts'

const MIN_FAILURE_STATUS = 400
const MIN_SERVER_ERROR_STATUS = 500
const ENDPOINTS = 3
const MAX_ATTEMPTS = 2

/** What a caller gets, and how many endpoints may have run its request by then. */
interface Expected {
  status: number
  possibleRuns: number
}

interface Situation {
  endpointCase: EndpointCase
  /** Whether every endpoint responds so; otherwise the first one does, and the others serve. */
  isEverywhere: boolean
  isRepeatable: boolean
}

interface Rule {
  name: string
  applies: (situation: Situation) => boolean
  expected: (situation: Situation) => Expected
}

const SERVED_ELSEWHERE: Expected = { status: 200, possibleRuns: MAX_ATTEMPTS }

/** The first rule that applies holds. */
const RULES: readonly Rule[] = [
  {
    name: 'a failure with the mark and exactly the own id proves that the request was not run: it goes on elsewhere, or is refused',
    applies: ({ endpointCase }) => provesNotRun(endpointCase),
    expected: ({ isEverywhere }) => isEverywhere ? { status: 503, possibleRuns: 0 } : { status: 200, possibleRuns: 1 }
  },
  {
    name: 'a head without exactly the own id is no response to the request, which may have run',
    applies: ({ endpointCase: { ids } }) => ids !== 'own',
    expected: ({ isEverywhere, isRepeatable }) => afterPossibleRun(isEverywhere, isRepeatable, 502)
  },
  {
    name: 'a status that is a promise is never forwarded: without proof the request may have run',
    applies: ({ endpointCase: { status } }) => PROMISES.includes(status),
    expected: ({ isEverywhere, isRepeatable }) => afterPossibleRun(isEverywhere, isRepeatable, 502)
  },
  {
    name: 'a failure of the endpoint is forwarded unless a repeatable request succeeds elsewhere',
    applies: ({ endpointCase: { status } }) => status >= MIN_SERVER_ERROR_STATUS,
    expected: ({ endpointCase: { status }, isEverywhere, isRepeatable }) => afterPossibleRun(isEverywhere, isRepeatable, status)
  },
  {
    name: 'any other response is forwarded, whatever else its head says',
    applies: () => true,
    expected: ({ endpointCase: { status } }) => ({ status, possibleRuns: 1 })
  }
]

function afterPossibleRun (isEverywhere: boolean, isRepeatable: boolean, status: number): Expected {
  if (!isRepeatable) return { status, possibleRuns: 1 }
  return isEverywhere ? { status, possibleRuns: MAX_ATTEMPTS } : SERVED_ELSEWHERE
}

const played = new PromiseDeployment()

beforeAll(async () => await played.start())
afterAll(async () => await played.stop())

/** Plays one situation, and returns how its outcome differs from the rule. */
async function findDifferences (kind: PathKind, situation: Situation): Promise<string[]> {
  const { endpointCase, isEverywhere } = situation
  const reply = await played.send(kind, Array.from({ length: isEverywhere ? ENDPOINTS : 1 }, () => endpointCase))
  await played.renew()
  const possibleRuns = (played.arrivals.get(reply.id) ?? []).filter(({ isProof }) => !isProof).length
  const rule = RULES.find(({ applies }) => applies(situation))
  const expected = rule?.expected(situation)
  const { status, ids, mark } = endpointCase
  const found = played.findViolations(reply)
  if (reply.status !== expected?.status || possibleRuns !== expected.possibleRuns) {
    const where = isEverywhere ? 'everywhere' : 'first'
    found.push(`${status}, ids ${ids}, mark ${mark}, ${where}: got ${reply.status} with ${possibleRuns} possible runs instead of ` +
      `${expected?.status} with ${expected?.possibleRuns} (${rule?.name})`)
  }
  return found
}

describe.each(['order', 'look-up'] as const)('the caller of /%s/ and the endpoints see the same of a request', (kind) => {
  it.each(STATUSES)('if the response has the status %i, with any ids and marks', async (status) => {
    const differences: string[] = []
    for (const ids of IDS) {
      for (const mark of MARKS) {
        for (const isEverywhere of [false, true]) {
          const endpointCase = toPlayable({ ...SERVE, status, ids, mark })
          differences.push(...await findDifferences(kind, { endpointCase, isEverywhere, isRepeatable: kind === 'look-up' }))
        }
      }
    }
    expect(differences).toEqual([])
  })
})

it('a request that runs only after its response is not promised to never run', async () => {
  const broken: string[] = []
  for (const kind of ['order', 'scan', 'look-up', 'draft'] as const) {
    for (const status of STATUSES.filter((one) => one >= MIN_FAILURE_STATUS)) {
      const reply = await played.send(kind, Array.from({ length: ENDPOINTS }, () => ({ ...SERVE, status, run: 'after' as const })))
      await played.renew()
      broken.push(...played.findViolations(reply))
    }
  }
  expect(broken).toEqual([])
})

describe.each(['order', 'look-up', 'scan', 'draft'] as const)('a response to /%s/ whose end is missing', (kind) => {
  it.each([
    ['connection', 'reset'], ['cut', 'close'], ['cut', 'reset'], ['cut chunks', 'close'], ['cut chunks', 'reset']
  ] as const)('is not complete (%s, %s)', async (framing, extra) => {
    const reply = await played.send(kind, Array.from({ length: ENDPOINTS }, () => ({ ...SERVE, framing, extra })))
    await played.renew()
    expect(reply.status === 200 && reply.isComplete).toBe(false)
    expect(played.findViolations(reply)).toEqual([])
  })

  it('is complete if the close of the connection marks its end', async () => {
    const reply = await played.send(kind, [{ ...SERVE, framing: 'connection', extra: 'close' }])
    await played.renew()
    expect(reply).toMatchObject({ status: 200, isComplete: true })
    expect(played.findViolations(reply)).toEqual([])
  })
})

it('nothing has run by the end whose caller was told that it never would', async () => {
  await played.settle()
  expect(played.findAllViolations()).toEqual([])
})
