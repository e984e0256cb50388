import { expect, it } from 'vitest'
import { RouteTable, type Route } from '../src/index.ts'

function route (name: string, tier: number, targetMs: number, service = 'lm'): Route {
  return {
    name,
    host: 'h',
    prefix: `/${name}/`,
    kind: 'stream',
    timeoutMs: 6000,
    targetMs,
    tier,
    split: [{ service, weight: 1 }],
    maxAttempts: 1,
    isPublic: true,
    isResumable: false,
    hasPromptParts: true
  }
}

it('the longest target of a route is that of all routes of its service that are no more urgent', () => {
  const routes = [route('first', 0, 900), route('middle', 1, 1500), route('last', 2, 2500), route('other', 2, 9000, 'app')]
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const table = new RouteTable({ version: 1, routes, services: [], organisations: [], limits })
  expect(routes.map((each) => table.longestTargetMs(each))).toEqual([2500, 2500, 2500, 9000])
})
