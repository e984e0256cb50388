/** The operators' records, as they stand in a TOML file and in the replicated state. */
import { z } from 'zod'
import { parseSelector } from '@gullwall/routing.selector'

const MAX_TIER = 7
const MAX_FLOOR = 0.5

const recordName = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, { error: 'lower-case letters, digits, dots, hyphens, at most 63' })
const labels = z.record(z.string().min(1), z.string().min(1))
const selectorText = z.string().refine((text) => parseSelector(text).isRight(), {
  error: 'requirements such as a=b, a!=b, a in (b,c), a notin (b,c), a, !a, joined by commas'
})
const keyHash = z.string().regex(/^sha256:[0-9a-f]{16,}:[0-9a-f]{64}$/, { error: 'sha256:SALT:HASH as printed by `gullwall key`' })

/** A service class: what its requests may expect, and what happens when capacity falls short. */
export const classSchema = z.strictObject({
  /** Priority; 0 is the highest. */
  tier: z.number().int().min(0).max(MAX_TIER),
  /** The least share of grants while work of the class waits. */
  floor: z.number().min(0).max(MAX_FLOOR).default(0.02),
  /** Target for the first token, in ms from the arrival of the request. */
  firstTokenMs: z.number().positive(),
  /** Target between tokens, in ms, for 95 in 100 tokens. */
  betweenTokensMs: z.number().positive().default(72),
  /** How long a request may wait for an endpoint, in ms. */
  maxWaitMs: z.number().positive(),
  /** What happens to a request whose wait has passed. */
  late: z.enum(['refuse', 'serve']).default('refuse'),
  /** Whether a request of the class may be run again unless the caller says otherwise. */
  repeatable: z.boolean().default(true),
  /** Which endpoints the class may reach. */
  selector: selectorText.default(''),
  /** The name of a selector record, in addition to `selector`. */
  selectorName: recordName.optional(),
  labels: labels.default({})
})

/** A customer: who calls, with which keys, and how much. */
export const organisationSchema = z.strictObject({
  /** Salted hashes of the keys; two are held while a key is changed. */
  keys: z.array(keyHash).min(1),
  classes: z.array(recordName).min(1),
  /** Share among the organisations of a tier. */
  weight: z.number().positive().default(1),
  /** Requests a second, over a burst of `burst`; 0 sets no limit. */
  ratePerSecond: z.number().min(0).default(0),
  burst: z.number().int().positive().default(10),
  /** Requests in flight at each entry; 0 sets no limit. */
  maxInFlight: z.number().int().min(0).default(0),
  /** Which endpoints the organisation may reach, besides what the class allows. */
  selector: selectorText.default(''),
  labels: labels.default({})
})

export const selectorSchema = z.strictObject({ match: selectorText })

/** Labels that operators add to an endpoint which its sidecar announced. */
export const endpointSchema = z.strictObject({
  labels: labels.default({}),
  /** A cordoned endpoint gets no new work. */
  cordoned: z.boolean().default(false)
})

export const modelSchema = z.strictObject({ labels: labels.default({}) })
export const adapterSchema = z.strictObject({ model: recordName, labels: labels.default({}) })

/** The schema of each kind of record. */
export const RECORD_SCHEMAS = {
  class: classSchema,
  organisation: organisationSchema,
  selector: selectorSchema,
  endpoint: endpointSchema,
  model: modelSchema,
  adapter: adapterSchema
}

export type RecordKind = keyof typeof RECORD_SCHEMAS
export const RECORD_KINDS = Object.keys(RECORD_SCHEMAS) as RecordKind[]

export type ClassRecord = z.infer<typeof classSchema>
export type OrganisationRecord = z.infer<typeof organisationSchema>
export type SelectorRecord = z.infer<typeof selectorSchema>
export type EndpointRecord = z.infer<typeof endpointSchema>

/** A file of records: one table for each record, `[class.workshop]` and so on. */
export const recordsFileSchema = z.strictObject({
  class: z.record(recordName, classSchema).default({}),
  organisation: z.record(recordName, organisationSchema).default({}),
  selector: z.record(recordName, selectorSchema).default({}),
  endpoint: z.record(recordName, endpointSchema).default({}),
  model: z.record(recordName, modelSchema).default({}),
  adapter: z.record(recordName, adapterSchema).default({})
})

export type RecordsFile = z.infer<typeof recordsFileSchema>
