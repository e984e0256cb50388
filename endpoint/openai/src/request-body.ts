/** The request body of a chat completion: its validation, and its changes for the engine. */
import { z } from 'zod'

/** Validates only the properties that Gullwall itself uses; the engine validates the others. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish()
})

export type ChatRequest = z.infer<typeof chatRequestSchema>

/** The part of a completion that was received before its stream was interrupted. */
export interface PartialCompletion {
  text: string
  /** The number of events with content, which have one token each. */
  tokens: number
}

/**
 * Adds the priority to a JSON body without parsing the body. The last of several equal keys takes effect, so that callers can't
 * set their own priority.
 */
export function addPriority (body: Buffer, priority: number): Buffer {
  const brace = body.lastIndexOf('}')
  return Buffer.concat([body.subarray(0, brace), Buffer.from(`,"priority":${priority}}`)])
}

/** Creates the body of a request that continues a partial completion. Token limits are reduced by the tokens received so far. */
export function createResumeBody (body: Buffer, partial: PartialCompletion): Buffer {
  const request = JSON.parse(body.toString('utf8')) as ChatRequest
  const resumed: Record<string, unknown> = {
    ...request,
    messages: [...request.messages, { role: 'assistant', content: partial.text }],
    continue_final_message: true,
    add_generation_prompt: false
  }
  for (const limit of ['max_tokens', 'max_completion_tokens'] as const) {
    const value = request[limit]
    if (typeof value === 'number') resumed[limit] = Math.max(1, value - partial.tokens)
  }
  return Buffer.from(JSON.stringify(resumed))
}

/** Whether the completion of a request can be resumed from its text alone. */
export function isResumable (request: ChatRequest): boolean {
  const hasOneChoice = request['n'] === undefined || request['n'] === null || request['n'] === 1
  return request.stream === true && hasOneChoice && request['logprobs'] !== true && request['tools'] === undefined
}
