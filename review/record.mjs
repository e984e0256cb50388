/** What all scripts of the review share: the time, the record of a case, and calls over HTTP. */
import { writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { join } from 'node:path'

const startedAt = performance.now()

/** Time since the start of the script, in ms. */
export const now = () => Math.round((performance.now() - startedAt) * 10) / 10
export const sleep = async (ms) => await new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)))

/** Writes what was sent, answered and run into record.txt beside the script. */
export class Record {
  lines = []
  constructor (folder) { this.folder = folder }
  add (what, fields = {}) {
    const entry = { t: now(), what, ...fields }
    this.lines.push(entry)
    return entry
  }

  of (what) { return this.lines.filter((line) => line.what === what) }
  write (verdict) {
    const text = this.lines.map(({ t, what, ...fields }) => `${t} ${what} ${JSON.stringify(fields)}`).join('\n')
    writeFileSync(join(this.folder, 'record.txt'), `${text}\n${verdict}\n`)
  }
}

/** One call on a new connection, or on one of an agent. Never rejects. */
export async function call (address, { method, path, headers = {}, body, timeoutMs = 1000, agent }) {
  const [host, port] = address.split(':')
  return await new Promise((resolve) => {
    const sent = now()
    const end = (outcome) => resolve({ sent, ended: now(), ...outcome })
    const outgoing = request({ host, port, method, path, headers, agent: agent ?? false }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => {})
      response.on('close', () => end({
        status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), isWhole: response.complete
      }))
    })
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('timeout')))
    outgoing.on('error', (error) => end({ error: error.message }))
    outgoing.end(body)
  })
}
