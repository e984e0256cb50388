/** What a load consists of. */
import { z } from 'zod'
import { addressSchema } from '@gullwall/config.settings'

const positive = z.number().positive()

const burstSchema = z.strictObject({ atSeconds: z.number().min(0), seconds: positive, factor: positive })

const loadClassSchema = z.strictObject({
  /** The class asked for. */
  class: z.string(),
  organisation: z.string(),
  key: z.string(),
  model: z.string(),
  ratePerSecond: positive,
  /** Lengths of answers in tokens: log-normal around a median, so with a long tail. */
  tokens: z.strictObject({ median: positive, sigma: z.number().min(0).default(0.7), max: z.number().int().positive().default(2000) }),
  stream: z.boolean().default(true),
  repeatable: z.boolean().default(true),
  /** Targets the answers are held against, in ms. */
  firstTokenMs: positive,
  betweenTokensMs: positive,
  bursts: z.array(burstSchema).default([]),
  /** How many openings the prompts share, to exercise prefix caches. */
  openings: z.number().int().positive().default(20)
})

export const scenarioSchema = z.strictObject({
  seed: z.number().int().default(1),
  seconds: positive,
  /** Entries; arrivals go to them in turn, as from a balancer. */
  entries: z.array(addressSchema).min(1),
  /** The admin address of the stand-in engines, for their ledger. */
  ledger: addressSchema.optional(),
  /** How long answers may take after the last arrival, in seconds. */
  graceSeconds: positive.default(30),
  classes: z.array(loadClassSchema).min(1)
})

export type Scenario = z.infer<typeof scenarioSchema>
export type LoadClass = z.infer<typeof loadClassSchema>
