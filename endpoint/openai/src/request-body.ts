/** The request body of a chat completion: its check, and what is added for the engine. */
import { z } from 'zod'

/** Only what the system itself reads is checked; the engine checks the rest. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish()
})

export type ChatRequest = z.infer<typeof chatRequestSchema>

/** What was answered before a stream broke off. */
export interface PartialCompletion {
  text: string
  /** Events with content, one token each. */
  tokens: number
}

/**
 * Adds the priority to a JSON body without writing it anew. The last of two
 * equal keys counts, so a caller can't set its own.
 */
export function addPriority (body: Buffer, priority: number): Buffer {
  const brace = body.lastIndexOf('}')
  return Buffer.concat([body.subarray(0, brace), Buffer.from(`,"priority":${priority}}`)])
}

/** Gives the body that goes on after a partial answer. */
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

/** Whether an answer can be resumed from its text alone. */
export function isResumable (request: ChatRequest): boolean {
  const single = request['n'] === undefined || request['n'] === null || request['n'] === 1
  return request.stream === true && single && request['logprobs'] !== true && request['tools'] === undefined
}
