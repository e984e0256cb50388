/**
 * A small deployment on loopback: the programs of the deploy file as separate processes, one loopback address a machine, with the settings
 * templates of the deploy file filled as its pages say.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fillTemplate } from './template.mjs'

export const ROOT = resolve(import.meta.dirname, '../..')
const PORTS = { frontend: 8227, readiness: 8220, control: 8229, links: 7340 }
const ZONES = ['ulemiste', 'lasnamae', 'mustamae']
const REGION = 'tallinn'
const START_MS = 20_000
const POLL_MS = 50
const RESTART_MS = 300

/** The bounds of the site varuk-tln. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  downgrade_slack_ms: 250,
  partition_max_ms: 5000,
  strict_revocation: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 54,
  recover_s: 12,
  iteration_ms: 120,
  retry_after_s: 10
}

/** Sends one HTTP request with a body, and returns its response; rejects if there is none in time. */
export function call (address, { method = 'GET', path = '/', headers = {}, body, timeoutMs = 2000 } = {}) {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const sent = request({ host, port, method, path, headers, agent: false, timeout: timeoutMs }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) }))
      response.on('error', reject)
      response.on('aborted', () => reject(new Error('aborted')))
    })
    sent.on('timeout', () => sent.destroy(new Error('timeout')))
    sent.on('error', reject)
    sent.end(body)
  })
}

/** One machine with one role. */
class Machine {
  constructor (deployment, { name, role, ip, zone }) {
    Object.assign(this, { deployment, name, role, ip, zone, isWanted: false, child: undefined, starts: 0, ends: [] })
    this.settingsFile = join(deployment.folder, `${name}.toml`)
    this.logFile = join(deployment.folder, `${name}.log`)
    this.dataFolder = role === 'control' ? join(deployment.folder, `data-${name}`) : null
  }

  get pid () {
    return this.child?.pid
  }

  address (kind) {
    return `${this.ip}:${PORTS[kind]}`
  }

  fields (isFirst) {
    const { deployment } = this
    return {
      node_name: this.name,
      ip: this.ip,
      zone: this.zone,
      zones: Object.fromEntries(ZONES.map((zone) => [zone, REGION])),
      listen: { frontend: this.address('frontend'), readiness: this.address('readiness'), control_plane: this.address('control') },
      internal_ports: [PORTS.links, 7355],
      seeds: deployment.controls.slice(0, 3).map((control) => control.address('control')),
      bootstrap: isFirst,
      data_dir: this.dataFolder,
      fault_tolerance: { machines: Math.floor((deployment.controls.length - 1) / 2), zones: 0, regions: 0 },
      bounds: { ...BOUNDS, ...deployment.extra.bounds },
      cloud_api: deployment.extra.cloud_api
    }
  }

  /** Starts the process; it is started again when it ends by itself, as the platform does. */
  start ({ isFirst = false } = {}) {
    const { deployment } = this
    const program = deployment.programs[this.role]
    const fields = this.fields(isFirst)
    writeFileSync(this.settingsFile, fillTemplate(readFileSync(join(ROOT, program.template), 'utf8'), fields))
    const [command, ...words] = program.run.split(' ').map((word) => fillTemplate(word, fields))
    if (this.dataFolder !== null) mkdirSync(this.dataFolder, { recursive: true })
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', GULLWALL_CONFIG: this.settingsFile }
    const child = spawn(command === 'node' ? process.execPath : command, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(this.logFile, { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.child = child
    this.starts += 1
    this.isWanted = true
    deployment.record.note(`${this.name} starts`)
    child.once('exit', (code, signal) => {
      deployment.record.note(`${this.name} has ended, code ${code}, signal ${signal}`)
      this.ends.push({ at: deployment.record.now, code, signal })
      if (this.child === child) this.child = undefined
      if (!this.isWanted || deployment.isStopping) return
      setTimeout(() => { if (this.isWanted && !deployment.isStopping) this.start() }, RESTART_MS)
    })
  }

  signal (name) {
    this.deployment.record.note(`${name} to ${this.name}`)
    this.child?.kill(name)
  }

  /** Ends the process and waits for its end; with SIGTERM it is killed after `grace_s`. */
  async end (signal) {
    this.isWanted = false
    const { child } = this
    if (child === undefined) return
    const exited = once(child, 'exit')
    this.signal(signal)
    const timer = setTimeout(() => child.kill('SIGKILL'), BOUNDS.grace_s * 1000)
    await exited
    clearTimeout(timer)
  }
}

export class Deployment {
  /** `extra` has further fields of the settings: bounds, and the address of the platform's interface. */
  constructor (record, { controls = 3, gateways = 1, extra = {} } = {}) {
    this.record = record
    this.extra = extra
    this.folder = mkdtempSync(join(tmpdir(), 'gullwall-review-'))
    this.isStopping = false
    this.programs = readDeployFile()
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    const machine = (role, index) => new Machine(this, {
      name: `${role}-${index + 1}`, role, ip: `${this.net}.${(role === 'control' ? 10 : 40) + index}`, zone: ZONES[index % ZONES.length]
    })
    this.controls = Array.from({ length: controls }, (_, index) => machine('control', index))
    this.gateways = Array.from({ length: gateways }, (_, index) => machine('entry', index))
  }

  get machines () {
    return [...this.controls, ...this.gateways]
  }

  async start () {
    await assertFree(this.controls[0].address('control'))
    for (const machine of this.machines) machine.start({ isFirst: true })
  }

  /** Sends the configuration until it is taken. */
  async configure (configuration) {
    const body = JSON.stringify(configuration)
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    for (let index = 0, endsAt = performance.now() + START_MS; performance.now() < endsAt; index += 1) {
      const address = this.controls[index % this.controls.length].address('control')
      try {
        const { status } = await call(address, { method: 'PUT', path: '/v1/config', headers, body })
        if (status < 500) {
          this.record.note(`configuration ${configuration.version}: ${status}`)
          return status
        }
      } catch {}
      await sleep(POLL_MS)
    }
    throw new Error('the configuration was not taken')
  }

  async isReady (gateway) {
    try {
      return (await call(gateway.address('readiness'), { path: '/v1/readyz', timeoutMs: 1000 })).status === 200
    } catch {
      return false
    }
  }

  async untilReady () {
    for (const gateway of this.gateways) {
      for (const endsAt = performance.now() + START_MS; !await this.isReady(gateway); await sleep(POLL_MS)) {
        if (performance.now() > endsAt) throw new Error(`${gateway.name} does not become ready`)
      }
    }
  }

  async stop () {
    this.isStopping = true
    await Promise.all(this.machines.map(async (machine) => await machine.end('SIGKILL')))
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Reads the command and the template of each role from the deploy file. */
function readDeployFile () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const roles = text.split(/^\[roles\./m).slice(1)
  const valueOf = (role, key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(role)?.[1]
  return Object.fromEntries(roles.map((role) => [role.slice(0, role.indexOf(']')), { run: valueOf(role, 'run'), template: valueOf(role, 'template') }]))
}

async function assertFree (address) {
  const [host, port] = address.split(':')
  const server = createServer()
  server.listen(Number(port), host)
  await once(server, 'listening')
  server.close()
  await once(server, 'close')
}
