/** The routing documents of a run. Each version adds a route for good and changes the keys of a guest. */

/** The data centres, with their regions. */
export const REGIONS = { 'dc-1': 'north', 'dc-2': 'north', 'dc-3': 'south' }
export const HOME_REGION = 'north'
export const HOST = 'soak.example'
export const KEY = 'key-of-the-workshop'
/** How strictly cold engines are spared. */
export const COLD = { perSecond: 2, startMs: 3000, overrun: 1, slack: 2 }
/** So many versions hold a key of the guest. */
const GUEST_KEYS = 2
const SLOTS = 8
/** How many retries all gateways together may send: mostly by the slack, so that a share that is used twice shows. */
export const RETRIES = { ratio: 0.05, windowMs: 10_000, slack: 30 }

/** What callers ask for. */
export interface Kind {
  name: string
  route: 'stream' | 'repeatable' | 'once'
  isResumable: boolean
  tier: number
  service: string
  allowedRegions?: string[]
  /** Requests a second. */
  rate: number
}

export const KINDS: readonly Kind[] = [
  { name: 'look-up', route: 'repeatable', isResumable: false, tier: 1, service: 'desk', rate: 12 },
  { name: 'order', route: 'once', isResumable: false, tier: 0, service: 'desk', rate: 12 },
  { name: 'draft', route: 'stream', isResumable: true, tier: 1, service: 'model', rate: 10 },
  { name: 'scan', route: 'stream', isResumable: false, tier: 2, service: 'model', rate: 8 },
  { name: 'home', route: 'repeatable', isResumable: false, tier: 1, service: 'model', rate: 6, allowedRegions: [HOME_REGION] }
]
export const TIMEOUT_MS = 4000
export const MAX_ATTEMPTS = 2

/** The route that every version from this one on has. */
export function versionPrefix (version: number): string {
  return `/version-${version}/`
}

/** The key that the guest has from this version on, until a few versions later. */
export function guestKey (version: number): string {
  return `key-of-the-guest-${version}`
}

/** The first version that does not hold a key of the guest any more. */
export function droppedIn (version: number): number {
  return version + GUEST_KEYS
}

export function documentOf (version: number, versions: readonly number[]): object {
  const common = { host: HOST, timeoutMs: TIMEOUT_MS, targetMs: 1000, maxAttempts: MAX_ATTEMPTS, isPublic: false, hasPromptParts: false }
  const routes = KINDS.map(({ name, route, isResumable, tier, service, allowedRegions }) => ({
    ...common, name, prefix: `/${name}/`, kind: route, isResumable, tier, split: [{ service, weight: 1 }], allowedRegions
  }))
  const added = versions.filter((known) => known <= version).map((known) => ({
    ...common, name: `v-${known}`, prefix: versionPrefix(known), kind: 'repeatable', isResumable: false, tier: 1, split: [{ service: 'desk', weight: 1 }]
  }))
  const guestKeys = Array.from({ length: GUEST_KEYS }, (_, age) => guestKey(version - age))
  return {
    version,
    routes: [...routes, ...added],
    services: [
      {
        name: 'model',
        healthPath: '/healthz',
        maxConnections: 60,
        coldLimit: { perSecond: COLD.perSecond, startMs: COLD.startMs },
        engine: { slots: SLOTS, memoryTokens: 100_000 }
      },
      { name: 'desk', healthPath: '/healthz', maxConnections: 60 }
    ],
    organisations: [{ name: 'workshop', keys: [KEY] }, { name: 'guest', keys: guestKeys }],
    limits: {}
  }
}

/** A document with a mistake: a route that names no service of the document. */
export function invalidDocument (version: number, versions: readonly number[]): object {
  const document = documentOf(version, versions) as { services: object[] }
  return { ...document, services: document.services.slice(0, 1) }
}
