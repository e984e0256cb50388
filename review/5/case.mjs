/** A control process loses its disk right after a change whose names have characters beyond the basic plane, and is brought up to date. */
import { rmSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase } from '../kit-2/case.mjs'
import { call } from '../kit-2/deployment.mjs'
import { configurationOf, routeOf, serviceOf } from '../kit-2/documents.mjs'

/** The largest `big_config` of varuk-tln-large adds so many routes. */
const ROUTES = 1400
/** Characters of the name of a route, each of which takes two units of UTF-16. */
const NAME_LENGTH = 200
const SIGNS = ['🥖', '🥐', '🔧', '🚗', '🛞']
const ROUNDS = 7
/** Bounds of varuk-tln-large. */
const BOUNDS = { contact_ms: 5000, catch_up_s: 6 }
const MOST_CHANGES = 12
const GAP_MS = 330
const ADMIN_PORT = 7355
const READ_MS = 10_000

function textOf (version) {
  // The first name has another length in each version, as names differ from day to day.
  const name = (index) => `${index === 0 ? 'x'.repeat(version * 131 % 997) : ''}${SIGNS[(version + index) % SIGNS.length].repeat(NAME_LENGTH)}${index}`
  const routes = Array.from({ length: ROUTES }, (_, index) => routeOf({ path_prefix: `/r${index}/`, service: 'svc', name: name(index) }))
  return JSON.stringify(configurationOf({ version, routes, services: [serviceOf('svc')] }))
}

async function put (deployment, record, text, version) {
  const body = Buffer.from(text)
  const headers = { 'content-type': 'application/json', 'content-length': body.length }
  for (let turn = 0; turn < 30; turn += 1) {
    const control = deployment.controls[turn % deployment.controls.length]
    try {
      const { status } = await call(control.address('control'), { method: 'PUT', path: '/v1/config', headers, body, timeoutMs: 4000 })
      if (status === 200) {
        record.note(`configuration ${version}, ${body.length} bytes: acknowledged by ${control.name}`)
        return
      }
    } catch {}
    await sleep(100)
  }
  throw new Error(`configuration ${version} is not acknowledged`)
}

/** The state that a control process tells of itself; used only to know when its latest change lies in a snapshot. */
async function statusOf (machine) {
  try {
    return JSON.parse((await call(`${machine.ip}:${ADMIN_PORT}`, { path: '/status' })).body.toString()).quorum
  } catch {
    return undefined
  }
}

/** Reads the configuration at one control process until it gives one. */
async function read (machine) {
  for (const endsAt = performance.now() + READ_MS; performance.now() < endsAt; await sleep(100)) {
    try {
      const { status, body } = await call(machine.address('control'), { path: '/v1/config', timeoutMs: 4000 })
      if (status === 200) return body.toString()
    } catch {}
  }
  return undefined
}

function describeDifference (sent, given) {
  let at = 0
  while (at < sent.length && sent[at] === given[at]) at += 1
  const excerpt = (text) => [...text.slice(at, at + 4)].map((sign) => `U+${sign.codePointAt(0).toString(16).toUpperCase()}`).join(' ')
  return `from character ${at} on: sent ${excerpt(sent)}, given ${excerpt(given)}`
}

await runCase(import.meta.dirname, { controls: 5, gateways: 1, extra: { bounds: BOUNDS } }, async ({ deployment, record, hasTrouble }) => {
  await deployment.start()
  await deployment.configure(configurationOf({ routes: [routeOf({ path_prefix: '/a/', service: 'svc' })], services: [serviceOf('svc')] }))
  await sleep(BOUNDS.contact_ms)
  let version = 1
  for (let round = 0; round < ROUNDS; round += 1) {
    let text = ''
    let leader
    for (let change = 0; change < MOST_CHANGES; change += 1) {
      version += 1
      text = textOf(version)
      await put(deployment, record, text, version)
      await sleep(GAP_MS)
      const states = await Promise.all(deployment.controls.map(statusOf))
      leader = states.findIndex((state) => state?.role === 'leader')
      const { snapshotIndex = 0, commitIndex = -1 } = states[leader] ?? {}
      if (snapshotIndex === commitIndex) break
    }
    const machine = deployment.controls.find((_control, index) => index !== leader && index % 2 === round % 2)
    if (hasTrouble) {
      await machine.end('SIGKILL')
      rmSync(machine.dataFolder, { recursive: true })
      record.note(`${machine.name} has lost its disk`)
      machine.start()
    }
    await sleep(BOUNDS.catch_up_s * 1000)
    const given = await read(machine)
    record.note(`round ${round}: ${machine.name} gives ${given === undefined ? 'nothing' : `${given.length} characters, ${given === text ? 'as sent' : 'not as sent'}`}`)
    if (given !== undefined && given !== text) return `${machine.name} gives another content of version ${version}: ${describeDifference(text, given)}`
  }
  return undefined
})
