/** Stand-ins of runners and clients, as PROTOCOL.md describes them. */
import { once } from 'node:events'
import { Agent, createServer } from 'node:http'
import { HEARTBEAT_MS, HOST, KEY } from './deployment.mjs'
import { call, sleep } from './record.mjs'

/** A runner of a plain service: runs `slots` requests at a time, turns the rest away, and beats. */
export class Runner {
  running = 0
  sequence = 0
  state = 'ready'
  isUp = true
  constructor (deployment, { id, service, zone, slots, workMs, onRequest = () => false }) {
    Object.assign(this, { deployment, record: deployment.record, id, service, zone, slots, workMs, onRequest })
    deployment.runners.push(this)
  }

  async start () {
    this.server = createServer({ keepAliveTimeout: 20_000 }, (incoming, response) => { this.serve(incoming, response) })
    this.server.listen(0, this.deployment.runnerIp)
    await once(this.server, 'listening')
    this.address = `${this.deployment.runnerIp}:${this.server.address().port}`
    this.at = Math.floor(Math.random() * this.deployment.controls.length)
    void this.beatOn()
  }

  stop () {
    this.isUp = false
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Calls one control process after the other until one acknowledges. */
  async tell (method, body) {
    const { controlAddresses } = this.deployment
    for (let tries = 0; tries < controlAddresses.length; tries += 1) {
      const answer = await call(controlAddresses[this.at % controlAddresses.length], {
        method, path: `/v1/instances/${this.id}`, headers: { 'content-type': 'application/json' }, body, timeoutMs: 1000
      })
      const by = controlAddresses[this.at % controlAddresses.length]
      this.record.add('runner told control', { runner: this.id, method, state: this.state, to: by, status: answer.status, error: answer.error })
      if (answer.status >= 200 && answer.status < 300) return { by, at: answer.ended }
      this.at += 1
    }
    return undefined
  }

  async beat () {
    const { service, address, zone, slots, state } = this
    this.sequence += 1
    return await this.tell('PUT', JSON.stringify({ service, address, zone, version: 'v1', slots, state, cold_left_ms: 0, sequence: this.sequence }))
  }

  async beatOn () {
    while (this.isUp && this.state === 'ready') {
      await this.beat()
      await sleep(HEARTBEAT_MS * (0.9 + 0.2 * Math.random()))
    }
  }

  async serve (incoming, response) {
    const id = incoming.headers['x-attempt-id']
    const chunks = []
    try {
      for await (const chunk of incoming) chunks.push(chunk)
    } catch {
      return
    }
    const expected = incoming.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-instance-id': this.id, 'x-attempt-id': id ?? '' }).end()
      return
    }
    this.record.add('arrived', { runner: this.id, attempt: id })
    if (this.onRequest(this, incoming, response, id) === true) return
    if (this.running >= this.slots) {
      this.turnAway(response, id)
      return
    }
    await this.run(incoming, response, id, Buffer.concat(chunks).length)
  }

  turnAway (response, id) {
    this.record.add('turned away', { runner: this.id, attempt: id, status: 503 })
    response.writeHead(503, { 'x-not-executed': '1', 'x-attempt-id': id, 'content-length': '0' }).end()
  }

  async run (incoming, response, id) {
    this.running += 1
    this.record.add('run', { runner: this.id, attempt: id, method: incoming.method, path: incoming.url })
    await sleep(this.workMs * (0.7 + 0.6 * Math.random()))
    this.running -= 1
    const body = `done ${id} by ${this.id}`
    if (response.destroyed) return
    response.writeHead(200, { 'x-attempt-id': id, 'x-server-signature': `sig.${this.id}.${id}`, 'content-length': String(body.length) }).end(body)
  }
}

/** A client that keeps one connection to a gateway. */
export class Client {
  agent = new Agent({ keepAlive: true, maxSockets: 1 })
  constructor (record, gateway, name) { Object.assign(this, { record, gateway, name, count: 0 }) }

  async send ({ method, path, deadlineMs, body }) {
    this.count += 1
    const id = `${this.name}-${this.count}`
    this.record.add('sent', { attempt: id, method, path, gateway: this.gateway.name })
    const answer = await call(this.gateway.fields.listen.frontend, {
      method,
      path,
      body,
      timeoutMs: deadlineMs,
      agent: this.agent,
      headers: { host: HOST, 'x-attempt-id': id, 'x-deadline-ms': String(deadlineMs), authorization: `Bearer ${KEY}`, ...(body === undefined ? {} : { 'content-type': 'application/json' }) }
    })
    const { sent, ended, status, error, isWhole } = answer
    this.record.add('answered', { attempt: id, status, error, whole: isWhole, by: answer.headers?.['x-server-signature'] })
    return { id, sent, ended, status, error, body: answer.body, headers: answer.headers }
  }

  close () { this.agent.destroy() }
}
