/**
 * A control process that is frozen for two seconds takes a snapshot just as its answers come too late. The leader can't bring it up to
 * date any more, and says nothing of it. Two machines that lose their disks later can't join, and two more take the configuration along.
 */
import { mkdirSync, rmSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, call, Client, configurationOf, now, Runner, runCase, sleep } from '../stand-ins.mjs'

/** With TROUBLE=0 the script does the same without the disruptions; with TROUBLE=disks only the disks are lost, and nothing is frozen. */
const TROUBLE = process.env.TROUBLE ?? '1'
const isFreezing = TROUBLE !== '0' && TROUBLE !== 'disks'
const isWiping = TROUBLE !== '0'
const PATH = '/cufi504/'
const SERVICE = 'catalog-api'
/** Routes of the configuration: the largest `big_config` of the pages' site files. */
const ROUTES = 1600
/** A `config_storm` of the site, for_s 4.0 and gap_s 0.33: all changes but those beside a freeze. Between two storms the operator rests. */
const STORM_GAP_MS = 330
const STORM_CHANGES = 12
const REST_MS = 1000
/** The other `config_storm` of the site, for_s 1.5 and gap_s 0.06: at most half a second of it beside each freeze. */
const FAST_GAP_MS = 60
const FIRST_FREEZE = { changes: 8, forMs: 1700 }
/**
 * The later ones: two requests of the leader have gone unanswered for a second each by then, and the third is about to be sent. If the
 * process follows the leader again after one of them, the next one is tried.
 */
const LATER_FREEZES = [2135, 2125, 2150].map((forMs) => ({ changes: 5, forMs }))
/** For how long the system is left alone after each disruption, in ms: well over `catch_up_s` and `contact_ms`. */
const CALM_MS = 8000
/** For how long machines that lose their disks are down, in ms. */
const DOWN_MS = 500
/** For how long the operator asks for the configuration at the end, in ms: over `recover_s`. */
const READ_MS = 20_000
/** A script may run for 120 s; the three later freezes take some 110 s if none but the last leaves the process behind. */
const LIMIT_MS = 116_000

function configuration (version) {
  const more = Array.from({ length: ROUTES }, (_, index) => ({
    name: `r-${index}`, path_prefix: `/more/r${index}/`, route_type: 'idempotent', service: SERVICE, timeout_ms: 1000 + version % 7
  }))
  return configurationOf(version, {
    routes: [{ name: 'price-fetch', path_prefix: PATH, route_type: 'idempotent', service: SERVICE }, ...more],
    services: [{ name: SERVICE }]
  })
}

/** What a control process tells on its own page; only the moments of the disruptions are taken from it. */
async function statusOf (machine) {
  const { status, body } = await call(`${machine.fields.ip}:7355`, { method: 'GET', path: '/status', timeoutMs: 1000 })
  if (status !== 200) throw new Error(`${machine.name} told no status`)
  return JSON.parse(body).quorum
}

/** The operator, who changes the configuration again and again. */
class Operator {
  version = 1
  changes = 0
  constructor (deployment) { this.deployment = deployment }
  async change (gapMs = STORM_GAP_MS) {
    const begun = now()
    this.version += 1
    await this.deployment.configure(configuration(this.version))
    await sleep(gapMs - (now() - begun))
  }

  /** A change of a storm; rests before the next storm. */
  async changeInStorms () {
    await this.change()
    this.changes += 1
    if (this.changes % STORM_CHANGES === 0) await sleep(REST_MS)
  }
}

async function freeze (machine, operator, { changes, forMs }) {
  const until = now() + forMs
  if (isFreezing) machine.signal('SIGSTOP')
  for (let count = 0; count < changes; count += 1) await operator.change(FAST_GAP_MS)
  await sleep(until - now())
  if (isFreezing) machine.signal('SIGCONT')
}

async function wipe (machines) {
  if (!isWiping) return
  await Promise.all(machines.map(async (machine) => await machine.kill()))
  await sleep(DOWN_MS)
  for (const machine of machines) {
    rmSync(machine.fields.data_dir, { recursive: true })
    mkdirSync(machine.fields.data_dir)
    machine.start()
  }
}

/** Asks each control process for the configuration until one gives it; gives its version, or 0. */
async function readBack (deployment, record) {
  const end = now() + READ_MS
  const addresses = deployment.controlAddresses
  let highest = 0
  for (let index = 0; now() < end && (highest === 0 || index < addresses.length); index += 1) {
    const address = addresses[index % addresses.length]
    const { status, body, error } = await call(address, { method: 'GET', path: '/v1/config', timeoutMs: 2000 })
    const version = status === 200 ? JSON.parse(body).version : undefined
    record.add('read', { by: address, status, error, version })
    highest = Math.max(highest, version ?? 0)
    await sleep(300)
  }
  return highest
}

/** Changes until the leader has taken two snapshots; gives the number of entries between them. */
async function measureInterval (operator, leader) {
  const seen = []
  while (seen.length < 2) {
    await operator.changeInStorms()
    const { snapshotIndex } = await statusOf(leader)
    if (snapshotIndex !== (seen.at(-1) ?? 0)) seen.push(snapshotIndex)
  }
  return { interval: seen[1] - seen[0], latest: seen[1] }
}

async function changeUntil (operator, leader, index) {
  while ((await statusOf(leader)).commitIndex < index) await operator.changeInStorms()
}

async function isBehind (machine, leader) {
  return (await statusOf(machine)).commitIndex < (await statusOf(leader)).commitIndex
}

async function play (deployment, record) {
  await deployment.open({ controls: 5, gateways: 2, tolerance: 2 })
  await deployment.configure(configuration(1))
  const runner = new Runner(deployment, { id: 'i-1', service: SERVICE, zone: 'ulemiste', slots: 6, workMs: 20 })
  await runner.start()
  await deployment.ready()
  await sleep(2000)
  const operator = new Operator(deployment)
  const { controls } = deployment
  const roles = await Promise.all(controls.map(async (machine) => (await statusOf(machine)).role))
  const leader = controls[roles.indexOf('leader')]
  const [third, fourth, fifth, frozen] = controls.filter((machine) => machine !== leader)
  record.add('chosen', { leader: leader.name, frozen: frozen.name })
  const { interval, latest } = await measureInterval(operator, leader)
  await changeUntil(operator, leader, latest + interval - 3)
  await freeze(frozen, operator, FIRST_FREEZE)
  await sleep(1500)
  for (const later of LATER_FREEZES) {
    const { snapshotIndex } = await statusOf(frozen)
    await changeUntil(operator, leader, snapshotIndex + interval - 2)
    await freeze(frozen, operator, later)
    await sleep(1500)
    if (!isFreezing || await isBehind(frozen, leader)) break
  }
  await sleep(CALM_MS)
  record.add('status', { of: await Promise.all(controls.map(async (machine) => `${machine.name} ${(await statusOf(machine)).commitIndex}`)) })
  await operator.change()
  await wipe([third, fourth])
  await sleep(CALM_MS)
  const client = new Client(record, deployment.gateways[0], 'c1')
  await client.send({ method: 'GET', path: `${PATH}2f`, deadlineMs: 1000 })
  client.close()
  record.add('before', { version: await readBack(deployment, record) })
  await wipe([leader, fifth])
  record.add('at the end', { version: await readBack(deployment, record) })
}

function check (record) {
  const acknowledged = Math.max(...record.of('configuration acknowledged').map(({ version }) => version))
  const [before] = record.of('before')
  const [end] = record.of('at the end')
  if (before.version !== acknowledged) throw new Error(`version ${before.version} was read before the last disks were lost`)
  if (end.version >= acknowledged) return []
  return [`LOST version ${acknowledged} was acknowledged, and ${end.version === 0 ? 'no version' : `version ${end.version}`} came in ${READ_MS} ms at the end; contact_ms is ${BOUNDS.contact_ms}, recover_s ${BOUNDS.recover_s}`]
}

await runCase(dirname(fileURLToPath(import.meta.url)), play, check, LIMIT_MS)
