/** The leases of endpoints in messages. */
import { z } from 'zod'

const count = z.number().int().min(0)

/** The longest name of a build of an endpoint's software, in characters. */
export const MAX_BUILD_LENGTH = 128

/** One start of an endpoint that may start again under its name. */
export const lifeSchema = z.object({
  /** The endpoint's own name, the same over its starts. */
  name: z.string(),
  /** When it started, by its own clock, in Unix ms. Of two lives of one name the one born later holds. */
  born: z.number().int()
})

/** What an endpoint said in the head of an answer of the requests a second that it takes from all boxes together. */
export const limitReportSchema = z.object({
  /** None where it named no limit any more. */
  perSecond: z.number().min(0).optional(),
  /** How long ago the request was sent that it answered, in ms, when the message was sent. */
  sentAgoMs: z.number(),
  /** How long ago the head arrived, likewise; it was made in between. */
  heardAgoMs: z.number()
})

/** The lease of an endpoint that registers itself by heartbeats. States only go forward. */
export const leaseSchema = z.object({
  /** Names one start of the endpoint; another start has another. */
  incarnation: z.string(),
  /** Which start of which endpoint it is, where the endpoint may start again under its name. */
  life: lifeSchema.optional(),
  service: z.string(),
  /** The build of its software; none where it does not say, and from processes that do not know of builds. */
  build: z.string().max(MAX_BUILD_LENGTH).optional(),
  address: z.string(),
  dataCentre: z.string(),
  slots: count,
  state: z.enum(['ready', 'draining', 'gone']),
  /** For how much longer the endpoint is cold, in ms, when the heartbeat was sent; none where it does not say. */
  coldMs: z.number().min(0).optional(),
  /** The latest word of its limit; none where it has named none, and from processes that do not know of limits. */
  limit: limitReportSchema.optional(),
  /** Grows with every heartbeat, so that a late one is recognised. */
  sequence: count,
  /** How long ago the heartbeat arrived, in ms, when the message was sent. */
  ageMs: z.number()
})
