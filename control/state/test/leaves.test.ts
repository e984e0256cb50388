/** Endpoints that leave, in the replicated state: remembered over snapshots, bounded, beside processes that do not know of them. */
import { describe, expect, it } from 'vitest'
import { ControlState, type Leave } from '@gullwall/control.state'

const MAX_LEAVES = 4096
const AT = 1_700_000_000_000

const leave = (incarnation: string, state: Leave['state'] = 'gone'): Leave => ({ incarnation, state, hasLife: true, at: AT })
const command = (leaves?: Leave[]) => JSON.stringify({ type: 'note-crashes', crashes: [], ranWell: [], leaves })

function states () {
  const told: string[] = []
  const state = new ControlState({ onLeaves: (leaves) => told.push(...leaves.map(({ incarnation, state: to }) => `${incarnation} ${to}`)) })
  return { state, told }
}

describe('endpoints that leave', () => {
  it('are told once for each state, which only goes forward', () => {
    const { state, told } = states()
    const result = state.apply(1, command([leave('a', 'draining'), leave('b', 'gone')]))
    state.apply(2, command([leave('a', 'draining')]))
    state.apply(3, command([leave('a', 'gone'), leave('b', 'draining')]))
    expect(told).toEqual(['a draining', 'b gone', 'a gone'])
    expect(state.leaves.has('a', 'draining')).toBe(true)
    // A process that forwarded the command takes the result as text.
    expect(JSON.parse(result)).toEqual({ held: [], released: [] })
    expect(state.revision).toBe(0)
  })

  it('are in snapshots, and told again when one is restored', () => {
    const { state } = states()
    state.apply(7, command([leave('a', 'draining')]))
    const { state: other, told } = states()
    other.restore(state.snapshot())
    expect(told).toEqual(['a draining'])
    expect(other.leaves.createSnapshot()).toEqual(state.leaves.createSnapshot())
  })

  it('stay known where the snapshot is of a process that does not know of them, and commands without them are taken', () => {
    const { state, told } = states()
    state.apply(1, command([leave('a')]))
    const { leaves: _leaves, ...older } = JSON.parse(state.snapshot()) as Record<string, unknown>
    state.restore(JSON.stringify(older))
    state.apply(2, command())
    expect(state.leaves.has('a', 'gone')).toBe(true)
    expect(told).toEqual(['a gone', 'a gone'])
  })

  it('are remembered in bounded state, which tells from which entry on it is complete', () => {
    const { state } = states()
    for (let index = 1; index <= MAX_LEAVES + 10; index += 1) state.apply(index, command([leave(`e-${index}`)]))
    expect(state.leaves.size).toBe(MAX_LEAVES)
    expect([state.leaves.has('e-10', 'gone'), state.leaves.has('e-11', 'gone')]).toEqual([false, true])
    expect(state.leaves.forgottenIndex).toBe(10)
  })
})
