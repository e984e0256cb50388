/** Waiting for something, and small questions over HTTP. */
import { request } from 'node:http'
import { GullwallError } from '@gullwall/core.error'

const POLL_MS = 50
const ASK_MS = 1000

export async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** @throws ERR_GULLWALL_SOAK if it does not hold in time */
export async function until (what: string, withinMs: number, holds: () => boolean | Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + withinMs
  while (!await holds()) {
    if (performance.now() > endsAt) throw new GullwallError('ERR_GULLWALL_SOAK', `${what}: not within ${withinMs} ms`, { step: 'wait' })
    await pause(POLL_MS)
  }
}

export interface Question {
  address: string
  method: 'GET' | 'PUT' | 'DELETE'
  path: string
  token?: string
  body?: string
  timeoutMs?: number
}

export interface Reply { status: number, body: string }

/** Asks once on a connection of its own; undefined where no whole answer came. */
export async function ask ({ address, method, path, token, body, timeoutMs = ASK_MS }: Question): Promise<Reply | undefined> {
  return await new Promise((resolve) => {
    const headers: Record<string, string> = token === undefined ? {} : { authorization: `Bearer ${token}` }
    if (body !== undefined) headers['content-type'] = 'application/json'
    const asked = request(`http://${address}${path}`, { method, headers, agent: false, signal: AbortSignal.timeout(timeoutMs) }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => resolve(undefined))
      response.on('close', () => {
        resolve(response.complete ? { status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() } : undefined)
      })
    })
    asked.on('error', () => resolve(undefined))
    asked.end(body)
  })
}

export async function isReady (address: string): Promise<boolean> {
  return (await ask({ address, method: 'GET', path: '/' }))?.status === 200
}
