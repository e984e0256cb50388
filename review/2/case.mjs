/**
 * Control processes that missed two changes of a large configuration never catch up. Two lost disks then take the acknowledged
 * configuration with them.
 */
import { mkdirSync, rmSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, call, Client, configurationOf, KEY, now, Runner, runCase, sleep } from '../stand-ins.mjs'

/** With TROUBLE=0 the script does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0'
const PATH = '/cufi504/'
const SERVICE = 'catalog-api'
/** Routes that the largest `big_config` of the pages' site files adds. */
const ROUTES = 1600
/** Organisations of the size that the letter names, each with two keys, as in the example of the wire. */
const ORGANISATIONS = 33_000
const KEY_CHARACTERS = 20
/** For how long machines that have returned may catch up, in ms: well over `catch_up_s`. */
const CATCH_UP_MS = 15_000
/** For how long the operator asks for the configuration at the end, in ms. */
const READ_MS = 30_000

function keyOf (index, number) {
  return `n${number}${index.toString(36).padStart(KEY_CHARACTERS - 2, '0')}`
}

function configuration (version, { routes, organisations }) {
  const more = Array.from({ length: routes }, (_, index) => ({
    name: `r-${index}`, path_prefix: `/more/r${index}/`, route_type: 'idempotent', service: SERVICE
  }))
  const others = Array.from({ length: organisations }, (_, index) => ({
    name: `org${index}`, api_keys: [keyOf(index, 1), keyOf(index, 2)], priority: 1
  }))
  return configurationOf(version, {
    routes: [{ name: 'price-fetch', path_prefix: PATH, route_type: 'idempotent', service: SERVICE, max_attempts: 2 }, ...more],
    services: [{ name: SERVICE }],
    tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }, ...others]
  })
}

/** Asks each control process for the configuration, again and again until it comes; gives the highest version that came. */
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

async function startAgain (machines, { hasDisk }) {
  for (const machine of machines) {
    if (!hasDisk) {
      rmSync(machine.fields.data_dir, { recursive: true })
      mkdirSync(machine.fields.data_dir)
    }
    machine.start()
  }
}

async function play (deployment, record) {
  await deployment.open({ controls: 5, gateways: 2, tolerance: 2 })
  await deployment.configure(configuration(1, { routes: 0, organisations: 0 }))
  const runner = new Runner(deployment, { id: 'i-1', service: SERVICE, zone: 'ulemiste', slots: 6, workMs: 20 })
  await runner.start()
  await deployment.ready()
  await sleep(3000)
  const [, , , fourth, fifth] = deployment.controls
  if (isTroubled) await Promise.all([fourth, fifth].map(async (machine) => await machine.kill()))
  await sleep(1000)
  await deployment.configure(configuration(2, { routes: ROUTES, organisations: 0 }))
  await deployment.configure(configuration(3, { routes: ROUTES, organisations: ORGANISATIONS }))
  if (isTroubled) await startAgain([fourth, fifth], { hasDisk: true })
  await sleep(CATCH_UP_MS)
  const client = new Client(record, deployment.gateways[0], 'c1')
  await client.send({ method: 'GET', path: `${PATH}2f`, deadlineMs: 1000 })
  client.close()
  record.add('before', { version: await readBack(deployment, record) })
  const lost = deployment.controls.slice(0, 2)
  if (isTroubled) {
    await Promise.all(lost.map(async (machine) => await machine.kill()))
    await sleep(500)
    await startAgain(lost, { hasDisk: false })
  }
  record.add('at the end', { version: await readBack(deployment, record) })
}

function check (record) {
  const acknowledged = Math.max(...record.of('configuration acknowledged').map(({ version }) => version))
  const [before] = record.of('before')
  const [end] = record.of('at the end')
  if (before.version !== acknowledged) throw new Error(`version ${before.version} was read before the disks were lost`)
  if (end.version >= acknowledged) return []
  return [`LOST version ${acknowledged} was acknowledged, and ${end.version === 0 ? 'no version' : `version ${end.version}`} came in ${READ_MS} ms at the end; contact_ms is ${BOUNDS.contact_ms}`]
}

await runCase(dirname(fileURLToPath(import.meta.url)), play, check)
