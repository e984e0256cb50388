/** With random endpoints, documents and attempt histories, no attempt and no prefix copy leaves the allowed regions. */
import { expect, it } from 'vitest'
import fc from 'fast-check'
import { checkShape, RouteTable, type RoutingDocument } from '@gullwall/config.document'
import { Regions } from '@gullwall/config.settings'
import { DEFAULT_WEIGHTS, EndpointIndex, EndpointState, OutputLengthEstimator, ReservedEngines } from '@gullwall/routing.balancer'
import { createAllowedRegionsRule, regionLimitsOf } from '../src/allowed-regions.ts'
import { bindTo } from '@gullwall/routing.stream-builds'
import { AttemptHistory } from '../src/attempt-history.ts'
import { type Call } from '../src/call.ts'
import { chooseEndpoint, hasAlternative, findNoEndpointReason } from '../src/endpoint-choice.ts'
import { type GatewayServices } from '../src/index.ts'
import { CrossRegionTraffic } from '../src/cross-region-traffic.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 500)
const BUILD = 'v1'
const SEED = Number(process.env['FUZZ_SEED'] ?? 11)
const REGIONS = ['a', 'b', 'c']
/** Without a list every region is allowed, including the unnamed one. */
const ALL_REGIONS = [...REGIONS, '']
const DATA_CENTRES = ['dc0', 'dc1', 'dc2', 'dc3', 'dc4']
const SLOTS = 8
const PROMPT = [{ id: 'subject', tokens: 8000 }, { id: 'own', tokens: 500 }]

interface Limits {
  route: string[] | undefined
  organisation: string[] | undefined
}

interface Server {
  dataCentre: string
  running: number
  /** Whether the shared part of the prompt is cached. */
  isCached: boolean
}

const regionList = fc.option(fc.uniqueArray(fc.constantFrom(...REGIONS), { minLength: 1 }), { nil: undefined })
const limitsOfDocument: fc.Arbitrary<Limits> = fc.record({ route: regionList, organisation: regionList })
const server: fc.Arbitrary<Server> = fc.record({
  dataCentre: fc.constantFrom(...DATA_CENTRES), running: fc.integer({ min: 0, max: SLOTS }), isCached: fc.boolean()
})
const scenario = fc.record({
  // Some data centres are in no named region.
  regions: fc.dictionary(fc.constantFrom(...DATA_CENTRES), fc.constantFrom(...REGIONS)),
  servers: fc.array(server, { maxLength: 12 }),
  limitsAtArrival: limitsOfDocument,
  currentLimits: limitsOfDocument,
  isNewer: fc.boolean(),
  isPublic: fc.boolean(),
  tier: fc.integer({ min: 0, max: 2 }),
  isResumed: fc.boolean()
})

function documentOf (version: number, { route, organisation }: Limits, isPublic: boolean): RoutingDocument {
  return checkShape({
    version,
    routes: [{
      name: 'r',
      host: 'h',
      prefix: '/',
      kind: 'stream',
      timeoutMs: 5000,
      targetMs: 1000,
      tier: 1,
      split: [{ service: 'lm', weight: 1 }],
      maxAttempts: 2,
      isPublic,
      isResumable: true,
      hasPromptParts: true,
      allowedRegions: route
    }],
    services: [{ name: 'lm', healthPath: '/', maxConnections: 10, engine: { slots: SLOTS, memoryTokens: 100_000, copiesPrefixes: true } }],
    organisations: [{ name: 'o', keys: ['k'], allowedRegions: organisation }],
    limits: {}
  }).unsafeCoerce()
}

function callUnder (document: RoutingDocument, tier: number): Call {
  const table = new RouteTable(document)
  const route = table.routeFor('h', '/')
  if (route === undefined) throw new Error('no route')
  const organisation = table.organisationOf('k')
  return {
    requestId: 'x',
    waitMs: undefined,
    lastEventId: undefined,
    resumes: undefined,
    binding: undefined,
    prompt: PROMPT,
    key: 'k',
    method: 'POST',
    path: '/',
    rawHeaders: [],
    body: undefined,
    route,
    organisation: route.isPublic ? undefined : organisation,
    regionLimits: regionLimitsOf(route, organisation),
    tier,
    arrivedAt: 0,
    deadline: Infinity,
    documentVersion: document.version,
    suspendedMs: 0,
    fingerprint: () => '',
    sharedParts: () => []
  }
}

function endpointOf ({ dataCentre, running, isCached }: Server, index: number): EndpointState {
  const endpoint = new EndpointState({
    incarnation: `i-${index}`, service: 'lm', build: BUILD, address: `127.0.0.1:${9000 + index}`, dataCentre, slots: SLOTS
  })
  endpoint.othersLoad = { unread: [], running, strain: 0, sensitive: 0, unreachable: 0 }
  if (isCached) endpoint.prefixCache.record(PROMPT.slice(0, 1), -Infinity)
  return endpoint
}

it(`requests, retries, resumptions and prefix copies stay in the allowed regions (seed ${SEED})`, () => {
  console.log(`seed ${SEED}, ${RUNS} runs`)
  fc.assert(fc.property(scenario, ({ regions, servers, limitsAtArrival, currentLimits, isNewer, isPublic, tier, isResumed }) => {
    const endpoints = servers.map(endpointOf)
    const table = new RouteTable(documentOf(isNewer ? 2 : 1, isNewer ? currentLimits : limitsAtArrival, isPublic))
    const index = new EndpointIndex()
    for (const endpoint of endpoints) index.setUsable(endpoint, true)
    const pool = (service: string) => index.pool(service)
    const view = { table, usable: () => endpoints, pool, index, reserved: new ReservedEngines() }
    const settings = { dataCentre: 'dc0', regions }
    const count = { entryCount: 1, entriesCountedSince: -Infinity }
    const crossRegionTraffic = new CrossRegionTraffic({ settings, view: count, metrics: {} as never })
    const services = {
      crossRegionTraffic,
      view,
      settings,
      weights: DEFAULT_WEIGHTS,
      startedAt: 0,
      eligibility: { dataCentres: [createAllowedRegionsRule({ settings, view })], endpoints: [] },
      outputLengthEstimator: new OutputLengthEstimator(),
      coldEndpoints: { selectPreferred: (endpoints: readonly EndpointState[]) => endpoints },
      limits: { needsGrant: () => false }
    } as unknown as GatewayServices
    const call = callUnder(documentOf(1, limitsAtArrival, isPublic), tier)
    const history = new AttemptHistory(call)
    const allowedLists = [limitsAtArrival, ...(isNewer ? [currentLimits] : [])]
      .flatMap(({ route, organisation }) => [route ?? ALL_REGIONS, organisation ?? ALL_REGIONS])
    const known = new Regions(regions)
    const isAllowed = ({ description }: EndpointState) => (
      allowedLists.every((allowed) => allowed.includes(known.regionOf(description.dataCentre)))
    )
    const remaining = () => endpoints.filter((endpoint) => isAllowed(endpoint) && !history.excluded.has(endpoint.description.incarnation))
    // All endpoints run the same build, so that a stream that has begun may go on at each of them.
    if (isResumed) call.binding = bindTo({ service: 'lm', incarnation: '', build: BUILD })
    const options = { services, call, history }
    // Each iteration is an attempt, a retry or a resumption, until no endpoint is left.
    for (let candidate = chooseEndpoint(options); candidate !== undefined; candidate = chooseEndpoint(options)) {
      expect(isAllowed(candidate.endpoint)).toBe(true)
      if (candidate.source !== undefined) {
        expect(isAllowed(candidate.source)).toBe(true)
        const { dataCentre } = candidate.source.description
        if (known.names.size > 1) expect(known.distance(dataCentre, candidate.endpoint.description.dataCentre)).not.toBe('other region')
      }
      history.recordUnsent(candidate.endpoint.description.incarnation)
      expect(hasAlternative(options, candidate.endpoint)).toBe(remaining().length > 0)
    }
    // All engines with free slots are tried; the others accept urgent requests only.
    for (const { running } of remaining()) expect(running).toBeGreaterThan(0.9 * SLOTS)
    if (endpoints.length > 0 && !endpoints.some(isAllowed)) expect(findNoEndpointReason(options)).toContain('no eligible endpoint')
  }), { numRuns: RUNS, seed: SEED })
})
