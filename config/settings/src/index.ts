/**
 * The settings of each program: what a process must know of itself before it
 * can ask anybody else. Operators' records are kept by control instead.
 */
import { readFileSync } from 'node:fs'
import { isIP } from 'node:net'
import { z } from 'zod'
import { checkToml, orThrow } from '@gullwall/config.checker'

export * from './regions.ts'
export * from './reload.ts'

/** An address as `IP:port` or `[IPv6]:port`; names are not allowed. */
export const addressSchema = z.string().refine(isAddress, { error: 'an IP literal and a port, as in 127.0.0.1:7000' })

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, { error: 'lower-case letters, digits, dots and hyphens, at most 63' })
const labelsSchema = z.record(z.string(), z.string())
const MIN_KEY_CHARACTERS = 16

const processSchema = {
  /** The box's name. */
  box: nameSchema,
  dataCentre: nameSchema,
  /** Where the process listens for its callers and for links. */
  listen: addressSchema,
  /** Where metrics, readiness and explanations are served. */
  admin: addressSchema,
  /** The key that all processes of one deployment share. */
  linkKey: z.string().min(MIN_KEY_CHARACTERS, { error: `at least ${MIN_KEY_CHARACTERS} characters` }),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info')
}

const seedLinksSchema = {
  /** The port of links on the hosts of seeds, where it differs from the port that the seeds name. */
  linkPort: z.number().int().positive().optional()
}

const DEFAULT_COLD_OVERRUN = 1
const DEFAULT_COLD_SLACK = 0

/** Where data centres lie. */
const regionsSchema = {
  /** The region of each data centre; those that are not named lie in one region together. */
  regions: z.record(nameSchema, nameSchema).optional()
}

/** How strictly cold endpoints are spared: at most rate x overrun + slack requests in any second, over all boxes. */
const coldSettingsSchema = z.strictObject({
  overrun: z.number().min(1).default(DEFAULT_COLD_OVERRUN),
  slack: z.number().min(0).default(DEFAULT_COLD_SLACK)
})

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
const DEFAULT_BODY_TIMEOUT_MS = 10_000
const DEFAULT_MAX_QUEUED = 5000
const DEFAULT_MAX_ANSWER_BYTES = 1024 * 1024

export const entrySettingsSchema = z.strictObject({
  ...processSchema,
  /** Control processes to link to. */
  control: z.array(addressSchema).min(1),
  maxBodyBytes: z.number().int().positive().default(DEFAULT_MAX_BODY_BYTES),
  /** How long a caller may take to send its body, in ms. */
  bodyTimeoutMs: z.number().int().positive().default(DEFAULT_BODY_TIMEOUT_MS),
  /** How many requests may wait in this process. */
  maxQueued: z.number().int().positive().default(DEFAULT_MAX_QUEUED),
  /** Answers longer than this are not kept for a resume. */
  maxAnswerBytes: z.number().int().positive().default(DEFAULT_MAX_ANSWER_BYTES),
  policy: z.enum(['late-binding', 'round-robin', 'least-reported-load', 'power-of-two']).default('late-binding')
})

const DEFAULT_GRACE_MS = 30_000
const DEFAULT_RETRY_WINDOW_MS = 10_000

/** An entry that reaches endpoints directly, by a routing document and leases. */
export const gatewaySettingsSchema = z.strictObject({
  ...processSchema,
  ...regionsSchema,
  /** What the link between two regions carries each way, of all traffic together; half of that is for requests. */
  regionLinkMbitPerS: z.number().positive().optional(),
  /** Where a balancer asks whether the process takes connections. */
  readiness: addressSchema,
  /** Control processes to ask first; they name the others. */
  seeds: z.array(addressSchema).min(1),
  ...seedLinksSchema,
  /** How long a planned stop may take, in ms. */
  graceMs: z.number().int().positive().default(DEFAULT_GRACE_MS),
  /** Repeats allowed for each request in the window. */
  retryRatio: z.number().min(0).default(0.2),
  retryWindowMs: z.number().int().positive().default(DEFAULT_RETRY_WINDOW_MS),
  /** Repeats allowed beyond the ratio, over all entries together. */
  retrySlack: z.number().min(0).default(20),
  /** The length of the windows in which requests are counted for reports of usage, in ms; nothing is counted without it. */
  usageWindowMs: z.number().int().positive().optional()
})

export const localEndpointSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['engine', 'service']),
  /** The model an engine carries, or the name of the service. */
  serves: nameSchema,
  /** The endpoint's own address. */
  address: addressSchema,
  labels: labelsSchema.default({}),
  /** In-flight limit: where it starts, and its bounds. */
  startLimit: z.number().int().positive().default(8),
  maxLimit: z.number().int().positive().default(64),
  /** Whether the endpoint refuses orders with an old fence by itself. */
  checksFence: z.boolean().default(false)
})

export const sidecarSettingsSchema = z.strictObject({
  ...processSchema,
  control: z.array(addressSchema).min(1),
  endpoints: z.array(localEndpointSchema).min(1),
  /** Whether attempts bound early by a baseline policy are taken without a slot. */
  admitWithoutSlot: z.boolean().default(false)
})

const DEFAULT_LEASE_MS = 3000

/** Reports of usage to the outside. */
const usageSettingsSchema = z.strictObject({
  /** Where they are sent. */
  address: addressSchema,
  /** The length of the windows that are reported, in ms; window k begins k times that after the start of 1970. */
  windowMs: z.number().int().positive(),
  /** How long after the end of a window its report is due, in ms. */
  lateMs: z.number().int().positive(),
  /** No two control processes report within this time of each other, in ms. */
  leaseMs: z.number().int().positive().default(DEFAULT_LEASE_MS)
})

/** Orders of endpoints to the outside, for services whose document names a `scaling`. */
const scalingSettingsSchema = z.strictObject({
  /** Where they are sent. */
  address: addressSchema,
  /** The duties that the outside hands over, in its words; an adapter knows which of them stands for orders. */
  duties: z.array(z.string()).default([]),
  /** Calls that the outside takes in a second, those of all duties together. */
  callsPerSecond: z.number().positive().default(1),
  /** No two control processes order within this time of each other, in ms. */
  leaseMs: z.number().int().positive().default(DEFAULT_LEASE_MS)
})

export const controlSettingsSchema = z.strictObject({
  ...processSchema,
  ...regionsSchema,
  /** This process's identity in the quorum; a box whose disk was lost takes a new one. */
  member: nameSchema,
  dataFolder: z.string().min(1),
  /** The members the quorum starts with; the same on each of them. */
  members: z.record(nameSchema, addressSchema),
  /** Or, where names are not known beforehand, addresses of control processes; those that are not members ask these to join. */
  seeds: z.array(addressSchema).default([]),
  ...seedLinksSchema,
  /** Where links listen; on `listen` unless it is given. */
  links: addressSchema.optional(),
  /** Whether an empty data folder means the first start of the deployment, and not a disk that was lost. */
  founds: z.boolean().default(true),
  /**
   * The loss of how many disks at once must be borne: the quorum is to have twice as many voters and one. A silent one
   * is replaced by a process that joined. Every process that joins votes where it is not given.
   */
  tolerance: z.number().int().min(0).optional(),
  quorumHeartbeatMs: z.number().int().positive().default(100),
  quorumElectionMs: z.number().int().positive().default(500),
  /** The share of that time after which a member that has just started stands for election. */
  firstElectionShare: z.number().positive().max(1).default(1),
  usage: usageSettingsSchema.optional(),
  scaling: scalingSettingsSchema.optional(),
  /** How far cold endpoints may be loaded beyond the rate that their service names; not at all where it is not given. */
  cold: coldSettingsSchema.optional(),
  /** The bearer token that operators show. */
  operatorToken: z.string().min(MIN_KEY_CHARACTERS, { error: `at least ${MIN_KEY_CHARACTERS} characters` })
}).refine(({ members, seeds }) => Object.keys(members).length + seeds.length > 0, { path: ['members'], error: 'members, or seeds to join' })

export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>
export type ControlSettings = z.infer<typeof controlSettingsSchema>
export type LocalEndpoint = z.infer<typeof localEndpointSchema>

/** The settings schema of each program, by its role. */
export const SETTINGS_SCHEMAS = {
  entry: entrySettingsSchema,
  gateway: gatewaySettingsSchema,
  sidecar: sidecarSettingsSchema,
  control: controlSettingsSchema
}

/**
 * Reads a settings file.
 * @throws ERR_GULLWALL_BAD_CONFIGURATION with every mistake in it.
 */
export function readSettings<T> (file: string, schema: z.ZodType<T>): T {
  return parseSettings(readFileSync(file, 'utf8'), schema, file)
}

/**
 * Checks the text of a settings file; `file` is for the message.
 * @throws ERR_GULLWALL_BAD_CONFIGURATION with what was expected and found
 */
export function parseSettings<T> (text: string, schema: z.ZodType<T>, file: string): T {
  return orThrow(checkToml(text, schema, { file }), 'read settings')
}

/** An address in its two parts. */
export interface HostPort {
  host: string
  port: number
}

/** Where the links of seeds are. */
export function linkAddresses (seeds: readonly string[], linkPort: number | undefined): string[] {
  if (linkPort === undefined) return [...seeds]
  return seeds.map((seed) => seed.replace(/:\d+$/, `:${linkPort}`))
}

/** Splits an address that was checked before. */
export function splitAddress (address: string): HostPort {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

const MAX_PORT = 65_535

function isAddress (text: string): boolean {
  if (!/^.+:\d{1,5}$/.test(text)) return false
  const { host, port } = splitAddress(text)
  return isIP(host) !== 0 && port <= MAX_PORT
}
