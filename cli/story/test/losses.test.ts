import { describe, expect, it } from 'vitest'
import { formatLosses, readLines, summarizeLosses } from '@gullwall/cli.story'

const START = Date.parse('2026-01-01T00:00:00Z')

function line (atMs: number, more: object): string {
  return JSON.stringify({ time: new Date(START + atMs).toISOString(), box: 'edge-1', channel: 'forward', requestId: 'a', route: 'narrative', ...more })
}

const LOG = [
  line(0, { decision: 'dispatch', endpoint: 'i-1', why: 'least cost' }),
  line(100, { decision: 'finish', endpoint: 'i-1', why: 'answered' }),
  line(200, { decision: 'finish', endpoint: 'i-1', why: 'answered', suppressedBefore: 7 }),
  line(5100, { decision: 'finish', endpoint: 'i-2', why: 'late: a pause of 231 ms of 200' }),
  line(5200, { decision: 'finish', endpoint: 'i-2', why: 'late: a pause of 245 ms of 200' }),
  line(300, { decision: 'finish', endpoint: 'i-1', why: 'late: a pause of 201 ms of 200' }),
  line(400, { decision: 'refuse', why: '503 ERR_GULLWALL_REFUSED: the first event would take 900 ms of 600' }),
  line(500, { decision: 'cancel', endpoint: 'i-1', firstEventMs: 40, why: 'the caller left' }),
  line(600, { decision: 'fail', route: 'price', endpoint: 'i-9', why: 'the endpoint answered 500: it runs at most once' })
].join('\n')

describe('the losses that log lines tell', () => {
  it('stand by route and reason, and add up to the requests that ended', () => {
    const { routes, sampledOut } = summarizeLosses(readLines(LOG).lines, { windowMs: 2000 })
    expect(routes.map(({ route, requests, inTime }) => [route, requests, inTime])).toEqual([['narrative', 7, 2], ['price', 1, 0]])
    for (const { requests, inTime, losses } of routes) {
      expect(inTime + losses.reduce((sum, loss) => sum + loss.requests, 0)).toBe(requests)
    }
    expect(sampledOut).toBe(7)
  })

  it('put alike reasons together, with when and where most of them were', () => {
    const [narrative] = summarizeLosses(readLines(LOG).lines, { windowMs: 2000 }).routes
    expect(narrative?.losses[0]).toEqual({
      reason: 'late: a pause of N ms of N',
      requests: 3,
      worstWindow: { startMs: 4000, requests: 2 },
      worstEndpoint: { endpoint: 'i-2', requests: 2 }
    })
  })

  it('read as a table', () => {
    expect(formatLosses(summarizeLosses(readLines(LOG).lines, { windowMs: 2000 })).slice(0, 2)).toEqual([
      'narrative: 7 requests, 2 in time',
      '      3  late: a pause of N ms of N; most from 4.0 s on (2), at i-2 (2)'
    ])
  })
})
