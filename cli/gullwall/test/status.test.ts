import { describe, expect, it } from 'vitest'
import { formatStatus, type DeploymentStatus } from '../src/commands/status.ts'

const status: DeploymentStatus = { revision: 7, leader: 'm-1', boxes: 3, evacuated: [], lagging: [], processes: [], unreachable: [] }

describe('the status for a terminal', () => {
  it('names the few that lag', () => {
    expect(formatStatus({ ...status, lagging: ['entry/a', 'entry/b'] })).toBe('revision 7, leader m-1, 3 boxes, lagging: entry/a, entry/b')
    expect(formatStatus(status)).toContain('lagging: none')
  })

  it('tells how old the document of a gateway is, and what it sent to other regions', () => {
    const gateway = { role: 'gateway', box: 'edge-1', revision: 7, version: 3, documentAgeMs: 61_400, leaving: { requests: 0, bytes: 0 } }
    expect(formatStatus({ ...status, processes: [gateway] })).toContain('\ngateway edge-1: document 3 in force for 61 s')
    const leaving = formatStatus({ ...status, processes: [{ ...gateway, leaving: { requests: 12, bytes: 48_200 } }] })
    expect(leaving).toContain('in force for 61 s, 12 requests to other regions, 48 kB')
  })

  it('names evacuated data centres on a line of their own', () => {
    expect(formatStatus({ ...status, evacuated: ['dc1', 'dc2'] }).split('\n')[1]).toBe('evacuated: dc1, dc2')
    expect(formatStatus(status)).not.toContain('evacuated')
  })

  it('tells how many endpoints a gateway knows to be cold, where there are any', () => {
    const gateway = (box: string, cold: number) => ({ role: 'gateway', box, revision: 7, cold })
    const lines = formatStatus({ ...status, processes: [gateway('b1', 0), gateway('b2', 12)] }).split('\n')
    expect(lines.slice(1)).toEqual(['gateway b1', 'gateway b2: 12 cold endpoints'])
  })

  it('stays short with hundreds of processes', () => {
    const many = Array.from({ length: 500 }, (_unused, index) => `entry/edge-${index}`)
    const lines = formatStatus({ ...status, lagging: many, unreachable: many }).split('\n')
    expect(lines[0]).toContain('entry/edge-7, and 492 more')
    expect(lines).toHaveLength(10)
    expect(lines.at(-1)).toBe('unreachable and 492 more')
  })
})
