/** One request as a caller makes it, and the check of its answer. */
import { createParser } from 'eventsource-parser'
import { type Pool } from 'undici'
import { expectedAnswer } from '@gullwall/bench.answers'
import { type Arrival } from './arrivals.ts'

/** What a caller has seen of one request. */
export interface CallOutcome {
  arrival: Arrival
  /** `wrong` is an answer that is not whole, not its own, or there twice. */
  result: 'right' | 'refused' | 'failed' | 'wrong'
  status: number
  ran: string
  firstTokenMs: number | undefined
  /** Time between tokens, in ms. */
  gaps: number[]
  totalMs: number
  why: string
}

interface ChatChunk {
  choices?: Array<{ delta?: { content?: string } }>
  error?: { message: string, ran?: string }
}

export async function call (pool: Pool, arrival: Arrival, signal: AbortSignal): Promise<CallOutcome> {
  const outcome: CallOutcome = {
    arrival, result: 'failed', status: 0, ran: 'unknown', firstTokenMs: undefined, gaps: [], totalMs: 0, why: ''
  }
  const startedAt = performance.now()
  try {
    await send(pool, arrival, signal, outcome, startedAt)
  } catch (error) {
    outcome.why = String(error)
  }
  outcome.totalMs = performance.now() - startedAt
  return outcome
}

async function send (pool: Pool, arrival: Arrival, signal: AbortSignal, outcome: CallOutcome, startedAt: number): Promise<void> {
  const { load, prompt } = arrival
  const answer = await pool.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      authorization: `Bearer ${load.key}`,
      'content-type': 'application/json',
      'gullwall-class': load.class,
      'gullwall-repeatable': String(load.repeatable)
    },
    body: JSON.stringify({ model: load.model, stream: load.stream, messages: [{ role: 'user', content: prompt }] }),
    signal
  })
  outcome.status = answer.statusCode
  if (answer.statusCode !== 200) {
    const body = await answer.body.json() as ChatChunk
    outcome.ran = body.error?.ran ?? 'unknown'
    outcome.result = outcome.ran === 'no' ? 'refused' : 'failed'
    outcome.why = body.error?.message ?? ''
    return
  }
  const text = load.stream ? await readStream(answer.body, outcome, startedAt) : await readWhole(answer.body, outcome, startedAt)
  if (outcome.why !== '') return
  outcome.result = text === expectedAnswer(prompt) ? 'right' : 'wrong'
  outcome.ran = 'yes'
}

async function readStream (body: AsyncIterable<Buffer>, outcome: CallOutcome, startedAt: number): Promise<string> {
  let text = ''
  let done = false
  let lastAt = 0
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        done = true
        return
      }
      const chunk = JSON.parse(data) as ChatChunk
      if (chunk.error !== undefined) outcome.why = chunk.error.message
      const content = chunk.choices?.[0]?.delta?.content
      if (content === undefined) return
      text += content
      lastAt = noteToken(outcome, startedAt, lastAt)
    }
  })
  const decoder = new TextDecoder()
  for await (const bytes of body) parser.feed(decoder.decode(bytes, { stream: true }))
  if (!done && outcome.why === '') outcome.why = 'the stream ended without [DONE]'
  return text
}

function noteToken (outcome: CallOutcome, startedAt: number, lastAt: number): number {
  const now = performance.now()
  if (outcome.firstTokenMs === undefined) outcome.firstTokenMs = now - startedAt
  else outcome.gaps.push(now - lastAt)
  return now
}

async function readWhole (body: AsyncIterable<Buffer>, outcome: CallOutcome, startedAt: number): Promise<string> {
  const chunks: Buffer[] = []
  for await (const bytes of body) chunks.push(bytes)
  outcome.firstTokenMs = performance.now() - startedAt
  const answer = JSON.parse(Buffer.concat(chunks).toString('utf8')) as { choices: Array<{ message: { content: string } }> }
  return answer.choices[0]?.message.content ?? ''
}
