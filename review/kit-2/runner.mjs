/** A stand-in of a runner: it announces itself, and works on requests as a case says. */
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'
import { once } from 'node:events'
import { call } from './deployment.mjs'

const HEARTBEAT_MS = 1200

export class Runner {
  /**
   * @param handle works on one request: (request, response, body) => void; it gets `base`, the headers that every answer carries
   */
  constructor (deployment, { service, ip, zone = 'ulemiste', slots = 64, handle, version = 'v1', maxHeaderSize = 32_768 }) {
    Object.assign(this, { deployment, service, ip, zone, slots, handle, version })
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.state = 'ready'
    this.sequence = 0
    this.runs = []
    const options = { requestTimeout: 0, keepAliveTimeout: 5000, maxHeaderSize }
    this.server = createServer(options, (request, response) => this.serve(request, response))
  }

  async start () {
    this.server.listen(0, this.ip)
    await once(this.server, 'listening')
    this.address = `${this.ip}:${this.server.address().port}`
    await this.beat()
    this.timer = setInterval(() => { void this.beat() }, HEARTBEAT_MS)
  }

  /** Sends a heartbeat to the control processes in turn until one acknowledges it. Returns whether one did. */
  async beat () {
    this.sequence += 1
    const { service, address, zone, version, slots, state, sequence } = this
    const body = JSON.stringify({ service, address, zone, version, slots, state, cold_left_ms: 0, sequence })
    const headers = { 'content-type': 'application/json', 'content-length': body.length }
    for (const control of this.deployment.controls) {
      try {
        const { status } = await call(control.address('control'), {
          method: 'PUT', path: `/v1/instances/${this.id}`, headers, body, timeoutMs: 1000
        })
        if (status < 300) return true
      } catch {}
    }
    return false
  }

  serve (request, response) {
    if (request.url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end()
      return
    }
    const id = request.headers['x-attempt-id'] ?? ''
    const expected = request.headers['x-expect-instance']
    const base = { 'X-Attempt-Id': id, 'X-Server-Signature': `${this.id}.${id}`, 'X-Weight-Versions': '1' }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Executed': '1', 'Content-Length': 0 }).end()
      return
    }
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      this.runs.push({ id, at: this.deployment.record.now, headers: request.headers })
      this.deployment.record.note(`runner ${this.id} of ${this.service} has got ${id}`)
      response.once('finish', () => this.deployment.record.note(`runner ${this.id} has answered ${id} with ${response.statusCode}`))
      this.handle({ request, response, body: Buffer.concat(chunks), id, base, runner: this })
    })
    request.on('error', () => {})
  }

  async stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }
}
