/** Guards against a stream that goes on at another build, since its caller does not name it and too few control processes were asked. */
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@gullwall/core.logger'
import { type Call } from '../src/call.ts'
import { StreamBuilds } from '../src/stream-builds.ts'

type Services = ConstructorParameters<typeof StreamBuilds>[0]

interface Asked { service: string, forMs: number }

const V1 = { service: 'app', incarnation: '', build: 'v1' }
const V2 = { ...V1, build: 'v2' }

/** A gateway that knows some control processes, of which some are linked and answer. */
function createGateway (known: number, dialled: number, answers: ReadonlyArray<typeof V1 | undefined>) {
  const asked: Asked[] = []
  const links = answers.map((binding, index) => ({
    address: `c${index}`,
    peer: { name: `c${index}`, dataCentre: 'dc1' },
    request: async (message: Asked) => {
      asked.push(message)
      return binding === undefined ? { found: 'unknown' } : { found: 'known', binding }
    }
  }))
  const controlLinks = {
    knownCount: known, dialledAddresses: Array.from({ length: dialled }, (_unused, index) => `c${index}`), linksByRegion: () => ({ local: links, others: [] })
  }
  const services = { settings: { box: 'b1' }, controlLinks, logger: silentLogger() } as unknown as Services
  return { builds: new StreamBuilds(services), asked }
}

const callOf = (waitMs?: number) => ({
  route: { name: 'draft', timeoutMs: 12_000, split: [{ service: 'app', weight: 1 }] }, waitMs, resumes: undefined
}) as unknown as Call

describe('a stream that its caller does not name', () => {
  it.each([
    ['two of three that are dialled answer, of five', 5, 3, [V1, V1]],
    ['two of five answer', 5, 5, [V1, V1]],
    ['one of three knows no single build', 3, 3, [V1, V1, undefined]],
    ['one of three knows another build', 3, 3, [V1, V1, V2]],
    ['none is linked', 0, 0, []]
  ])('is of an unknown build if %s', async (_what, known, dialled, answers) => {
    const { builds } = createGateway(known, dialled, answers)
    expect(await builds.find(callOf())).toMatchObject({ type: 'unknown' })
  })

  it('is of the build that most control processes know', async () => {
    const { builds } = createGateway(5, 3, [V1, V1, V1])
    expect(await builds.find(callOf())).toMatchObject({ type: 'known', binding: V1 })
  })

  it('may have begun one attempt and the rest of the wait before', async () => {
    const { builds, asked } = createGateway(1, 1, [V1])
    await builds.find(callOf(5000))
    expect(asked).toMatchObject([{ service: 'app', forMs: 18_000 }])
  })
})
