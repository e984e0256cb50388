import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type LoadSummary } from '@gullwall/transport.messages'
import { WorkloadTable } from '../src/index.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 11)
console.log(`workload table: FUZZ_SEED=${SEED}`)

const all = () => true
const unreadArbitrary = fc.record({ urgency: fc.nat(2), tokens: fc.integer({ min: 1, max: 9 }) })
const workArbitrary: fc.Arbitrary<LoadSummary> = fc.record({
  incarnation: fc.constantFrom('i-1', 'i-2', 'i-3'),
  running: fc.nat(3),
  strain: fc.constantFrom(0, 0.5, 1),
  sensitive: fc.nat(2),
  unreachable: fc.nat(2),
  unread: fc.uniqueArray(unreadArbitrary, { selector: ({ urgency }) => urgency, maxLength: 2 })
})
const worksArbitrary = fc.uniqueArray(workArbitrary, { selector: ({ incarnation }) => incarnation })
const stepArbitrary = fc.record({
  source: fc.constantFrom('a', 'b', 'c'), how: fc.constantFrom('replace', 'update', 'remove'), works: worksArbitrary
})

describe('the workload table', () => {
  it('gives the sums of what each source last told, and names each endpoint whose sum has changed', () => {
    fc.assert(fc.property(fc.array(stepArbitrary), (steps) => {
      const table = new WorkloadTable<string>()
      const model = new Map<string, Map<string, LoadSummary>>()
      for (const { source, how, works } of steps) {
        const before = table.sumAt('i-1', all)
        const known = how === 'update' ? model.get(source) ?? new Map<string, LoadSummary>() : new Map<string, LoadSummary>()
        if (how !== 'remove') for (const work of works) known.set(work.incarnation, work)
        model.set(source, known)
        const changed = how === 'replace' ? table.replace(source, works) : how === 'update' ? table.update(source, works) : table.remove(source)
        const after = table.sumAt('i-1', all)
        if (JSON.stringify(before) !== JSON.stringify(after)) expect(changed).toContain('i-1')
        const told = [...model.values()].flatMap((rows) => rows.get('i-1') ?? [])
        expect(after.running).toBe(told.reduce((sum, { running }) => sum + running, 0))
        expect(after.strain).toBe(told.reduce((sum, { strain }) => sum + strain, 0))
        expect(after.sensitive).toBe(told.reduce((sum, { sensitive }) => sum + sensitive, 0))
        expect(tokensOf([after])).toBe(tokensOf(told))
      }
    }), { seed: SEED })
  })

  it('adds up what is held of memory, with one bit for a subject that several have, and tells when it has changed', () => {
    const table = new WorkloadTable<string>()
    const work = { incarnation: 'i-1', running: 1, strain: 0, sensitive: 0, unreachable: 0, unread: [] }
    const memory = { tokens: 100, sharedTokens: 6300, sharing: 1, subjects: [0, 2 ** 31 + 1] as [number, number] }
    table.replace('a', [{ ...work, memory }])
    expect(table.replace('b', [{ ...work, memory: { ...memory, tokens: 50, subjects: [4, 1] } }])).toEqual(['i-1'])
    table.replace('c', [work])
    expect(table.sumAt('i-1', all).memory).toEqual({ tokens: 150, sharedTokens: 12_600, sharing: 2, subjects: [4, 2 ** 31 + 1] })
    expect(table.replace('a', [{ ...work, memory: { ...memory, subjects: [1, 0] } }])).toEqual(['i-1'])
    expect(table.replace('c', [work])).toEqual([])
    expect(table.sumAt('i-1', (source) => source === 'c').memory).toBeUndefined()
  })

  it('leaves out what does not count, and forgets endpoints where nothing is under way', () => {
    const table = new WorkloadTable<string>()
    table.replace('a', [{ incarnation: 'i-1', running: 1, strain: 0, sensitive: 0, unreachable: 0, unread: [] }])
    table.replace('b', [{ incarnation: 'i-1', running: 2, strain: 0, sensitive: 0, unreachable: 0, unread: [] }, { incarnation: 'i-2', running: 4, strain: 0, sensitive: 0, unreachable: 0, unread: [] }])
    expect(table.sumAt('i-1', (source) => source !== 'a').running).toBe(2)
    expect(table.endpoints((source) => source === 'a')).toEqual(['i-1'])
    expect(table.replace('b', [])).toEqual(['i-1', 'i-2'])
    expect(table.endpoints(all)).toEqual(['i-1'])
    expect(table.replace('a', [{ incarnation: 'i-1', running: 1, strain: 0, sensitive: 0, unreachable: 0, unread: [] }])).toEqual([])
  })
})

function tokensOf (works: readonly LoadSummary[]): number {
  return works.flatMap(({ unread }) => unread).reduce((sum, { tokens }) => sum + tokens, 0)
}
