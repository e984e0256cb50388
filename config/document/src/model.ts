/** The model of a routing document, as schemas and types. Durations are in ms. */
import { z } from 'zod'

const count = z.number().int().min(0)
const positive = z.number().positive()

/** `stream`: events, resumed or run once; `repeatable`: may run again; `once`: runs at most once. */
export const routeKindSchema = z.enum(['stream', 'repeatable', 'once'])

export const splitSchema = z.object({ service: z.string(), weight: z.number().min(0) })

export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash; the longest that begins the path wins. */
  prefix: z.string(),
  kind: routeKindSchema,
  /** The longest that a request is held. */
  timeoutMs: positive,
  /** The time to the answer, or to a stream's first event, that earns full credit. */
  targetMs: z.number().min(0),
  /** Rank; 0 is the highest. */
  tier: count,
  split: z.array(splitSchema).min(1),
  /** To how many endpoints one request may be sent. */
  maxAttempts: z.number().int().min(1),
  /** Whether no key is needed. */
  isPublic: z.boolean(),
  /** Whether a stream may go on at another endpoint after its last whole event. */
  isResumable: z.boolean(),
  /** The longest pause between events that is in time; none where the route sets none. */
  pauseMs: positive.optional(),
  /** Whether requests name the shared parts of their prompts. */
  hasPromptParts: z.boolean(),
  /** The regions in which its requests may be served; any where it names none. */
  allowedRegions: z.array(z.string()).optional()
})

/** What is known of the engines behind a service. */
export const engineSchema = z.object({
  /** Requests that run at once. */
  slots: count,
  /** Tokens that the memory of one engine holds. */
  memoryTokens: count,
  /** Whether an engine copies what another one keeps of a prompt when it is told which. */
  copiesPrefixes: z.boolean().default(false),
  /** Bytes that a copy moves for each token. */
  bytesPerToken: z.number().min(0).default(0)
})

/** How many requests an endpoint bears while it is cold: after its start, or whenever it says so. */
export const coldLimitSchema = z.object({
  /** Requests within any second, from all boxes together. */
  perSecond: positive,
  /** For how long an endpoint is usually cold after its start, in ms. */
  startMs: z.number().min(0)
})

/** How many endpoints a service may have in each data centre, where the system orders them. */
export const scalingSchema = z.object({
  min: count,
  max: count,
  /** From the order of an endpoint until it serves, in ms. */
  bootMs: z.number().min(0)
})

export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one endpoint takes from all callers together. */
  maxConnections: z.number().int().min(1),
  engine: engineSchema.optional(),
  /** None where cold endpoints bear as much as others. */
  coldLimit: coldLimitSchema.optional(),
  /** None where the system orders no endpoints. */
  scaling: scalingSchema.optional()
})

export const organisationSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Rank that goes before that of a route; none where the route decides. */
  tier: count.optional(),
  /** The regions in which its requests may be served; any where it names none. Both this and a route's list bind. */
  allowedRegions: z.array(z.string()).optional()
})

export const limitsSchema = z.object({
  maxHeaderBytes: positive.default(16_384),
  maxBodyBytes: positive.default(4_194_304),
  headerTimeoutMs: positive.default(3000),
  idleTimeoutMs: positive.default(15_000)
})

export const documentSchema = z.object({
  version: count,
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  organisations: z.array(organisationSchema),
  limits: limitsSchema
})

export type RouteKind = z.infer<typeof routeKindSchema>
export type ColdLimit = z.infer<typeof coldLimitSchema>
export type Scaling = z.infer<typeof scalingSchema>
export type Split = z.infer<typeof splitSchema>
export type Route = z.infer<typeof routeSchema>
export type ServiceDescription = z.infer<typeof serviceSchema>
export type OrganisationDescription = z.infer<typeof organisationSchema>
export type DocumentLimits = z.infer<typeof limitsSchema>
export type RoutingDocument = z.infer<typeof documentSchema>
