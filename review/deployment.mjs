/**
 * A stand-in for the platform: settings, starts and kills of the project's own programs, which run as separate processes with the
 * commands of deploy/system.toml, and an operator.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createNetServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'
import { call, now, Record, sleep } from './record.mjs'
import { fill } from './template.mjs'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const ZONES = { ulemiste: 'tallinn', lasnamae: 'tallinn', mustamae: 'tallinn' }
const ZONE_NAMES = Object.keys(ZONES)
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
export const HEARTBEAT_MS = 1200
export const HOST = 'ficu95.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'

async function freePorts (host, count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createNetServer().listen(0, host)
    await once(server, 'listening')
    return server
  }))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map(async (server) => { server.close(); await once(server, 'close') }))
  return ports
}

/** Port of the page that each program serves on its own address; the settings templates name it. */
const ADMIN_PORT = 7355

/** Whether no other deployment of this machine uses the addresses. */
async function areFree (ips) {
  const results = await Promise.all(ips.map(async (ip) => {
    const server = createNetServer().listen(ADMIN_PORT, ip)
    try {
      await once(server, 'listening')
    } catch {
      return false
    }
    server.close()
    await once(server, 'close')
    return true
  }))
  return results.every((isFree) => isFree)
}

/** Gives a function that makes loopback addresses, none of the first `count` of which is in use. */
async function findAddresses (count) {
  for (;;) {
    const block = 1 + Math.floor(Math.random() * 200)
    const ipOf = (index) => `127.${block}.${10 + Math.floor(index / 100)}.${1 + index % 100}`
    if (await areFree(Array.from({ length: count }, (_, index) => ipOf(index)))) return ipOf
  }
}

/** One machine that runs one role. */
class Machine {
  child = undefined
  isBootstrap = true
  constructor (deployment, fields, role) { Object.assign(this, { deployment, fields, role, name: fields.node_name }) }

  start () {
    const { deployment, fields, role, name } = this
    const all = { ...fields, bootstrap: this.isBootstrap }
    const settings = join(deployment.folder, `${name}.toml`)
    writeFileSync(settings, fill(readFileSync(join(ROOT, role.template), 'utf8'), all))
    const [program, ...args] = fill(role.run, all).split(' ')
    const log = openSync(join(deployment.folder, `${name}.log`), 'a')
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, GULLWALL_CONFIG: settings }
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', log, log] })
    this.child = child
    this.isBootstrap = false
    this.isExpected = false
    child.once('exit', (code, signal) => {
      if (this.isExpected !== child) deployment.record.add('ended by itself', { machine: name, code, signal })
    })
    deployment.record.add('start', { machine: name, pid: child.pid })
  }

  async kill () {
    const { child } = this
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    this.isExpected = child
    const exited = once(child, 'exit')
    child.kill('SIGKILL')
    this.deployment.record.add('kill', { machine: this.name })
    await exited
  }

  signal (name) {
    this.child?.kill(name)
    this.deployment.record.add('signal', { machine: this.name, signal: name })
  }
}

/** A small deployment: control processes and gateways, each on a loopback address of its own. */
export class Deployment {
  controls = []
  gateways = []
  runners = []
  folder = mkdtempSync(join(tmpdir(), 'gullwall-review-'))

  constructor (record) { this.record = record }

  async open ({ controls, gateways, tolerance }) {
    const { roles } = parse(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
    const ipOf = await findAddresses(controls + gateways + 1)
    const [frontend, readiness, control, internal] = await freePorts(ipOf(0), 4)
    const coreIps = Array.from({ length: controls }, (_, index) => ipOf(index))
    const seeds = coreIps.slice(0, 3).map((ip) => `${ip}:${control}`)
    const fieldsOf = (kind, ip, index) => ({
      node_name: `${kind}-${index + 1}`,
      role: kind,
      machine_class: kind,
      ip,
      zone: ZONE_NAMES[index % 3],
      region: 'tallinn',
      zones: ZONES,
      internal_ports: [internal, internal + 15],
      seeds,
      heartbeat_ms: HEARTBEAT_MS,
      bounds: BOUNDS,
      discovery: 'registration',
      entry: 'vip',
      fault_tolerance: { machines: tolerance, zones: 0, regions: 0 },
      config_mode: 'highest',
      in_tolerance: kind === 'core'
    })
    for (const [index, ip] of coreIps.entries()) {
      const folder = join(this.folder, `data-${index + 1}`)
      mkdirSync(folder)
      const fields = { ...fieldsOf('core', ip, index), listen: { control_plane: `${ip}:${control}` }, data_dir: folder }
      this.controls.push(new Machine(this, fields, roles.control))
    }
    for (let index = 0; index < gateways; index += 1) {
      const ip = ipOf(controls + index)
      const fields = { ...fieldsOf('edge', ip, index), listen: { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}` }, data_dir: null }
      this.gateways.push(new Machine(this, fields, roles.entry))
    }
    this.runnerIp = ipOf(controls + gateways)
    for (const machine of this.machines) machine.start()
  }

  get machines () { return [...this.controls, ...this.gateways] }
  get controlAddresses () { return this.controls.map(({ fields }) => fields.listen.control_plane) }

  async ready (timeoutMs = 20_000) {
    const end = now() + timeoutMs
    for (const { fields } of this.gateways) {
      while ((await call(fields.listen.readiness, { method: 'GET', path: '/v1/readyz' })).status !== 200) {
        if (now() > end) throw new Error('the gateways are not ready')
        await sleep(50)
      }
    }
  }

  /** Sends a configuration until it is acknowledged, to one control process after the other. */
  async configure (configuration, timeoutMs = 15_000) {
    const body = JSON.stringify(configuration)
    const end = now() + timeoutMs
    for (let index = 0; now() < end; index += 1) {
      const address = this.controlAddresses[index % this.controlAddresses.length]
      const answer = await call(address, { method: 'PUT', path: '/v1/config', body, headers: { 'content-type': 'application/json' }, timeoutMs: 1000 })
      this.record.add('configuration sent', { version: configuration.version, to: address, status: answer.status, error: answer.error })
      if (answer.status === 200) {
        this.record.add('configuration acknowledged', { version: configuration.version, by: address })
        return
      }
      await sleep(100)
    }
    throw new Error('the configuration was not acknowledged')
  }

  async close () {
    for (const runner of this.runners) runner.stop()
    await Promise.all(this.machines.map(async (machine) => await machine.kill()))
    if (process.env.KEEP === '1') console.log(this.folder)
    else rmSync(this.folder, { recursive: true, force: true })
  }
}

export function configurationOf (version, { routes, services, tenants }) {
  return {
    version,
    routes: routes.map((route) => ({
      hostname: HOST, timeout_ms: 1000, slo_ms: 200, priority: 1, max_attempts: 2, public: false, sticky: false, resumable: false, ...route
    })),
    services: services.map((service) => ({ health_path: '/healthz', max_connections: 100, protocol: 'h1', tls: false, ...service })),
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: tenants ?? [{ name: 'hule930', api_keys: [KEY], priority: 1 }]
  }
}

/** Runs a case within a time limit: exits with 1 if its check finds a break, 0 if it finds none, 2 if the case could not run. */
export async function runCase (folder, play, check, limitMs = 110_000) {
  const record = new Record(folder)
  const deployment = new Deployment(record)
  const fuse = setTimeout(() => { void finish(2, 'the case took too long') }, limitMs)
  let isOver = false
  async function finish (code, verdict) {
    if (isOver) return
    isOver = true
    clearTimeout(fuse)
    record.write(verdict)
    await deployment.close()
    console.log(verdict)
    process.exit(code)
  }
  process.on('SIGTERM', () => { void finish(2, 'stopped') })
  process.on('SIGINT', () => { void finish(2, 'stopped') })
  process.on('unhandledRejection', (error) => { void finish(2, `could not run: ${error?.stack ?? error}`) })
  try {
    await play(deployment, record)
    const breaks = check(record)
    await finish(breaks.length > 0 ? 1 : 0, breaks.length > 0 ? `BROKEN (${breaks.length}):\n${breaks.slice(0, 20).join('\n')}` : 'HELD')
  } catch (error) {
    await finish(2, `could not run: ${error?.stack ?? error}`)
  }
}
