/** A late extra answer of an earlier request, in the slot of the next answer, is taken for that answer if it says "not executed". */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client, configurationOf, Runner, runCase, sleep } from '../stand-ins.mjs'

/** With TROUBLE=0 the script does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0'
const PATH = '/puxa403/'
const SECONDS = 30
const CLIENTS = 12
/** Share of the requests that a runner turns away although its health check is good (srv_grey), with and without the disruption. */
const SHED_SHARE = 0.1
/** Share of these answers of which a second one is sent late (garble, extra late). */
const EXTRA_SHARE = 0.5

/** Connections on which a second answer is due, with its bytes. */
const due = new WeakMap()

function onRequest (runner, incoming, response, id) {
  const { socket } = incoming
  const extra = due.get(socket)
  if (extra !== undefined) {
    due.delete(socket)
    runner.record.add('second answer', { runner: runner.id, of: extra.id, whenCame: id })
    socket.write(extra.bytes)
    return false
  }
  if (Math.random() >= SHED_SHARE) return false
  runner.turnAway(response, id)
  if (isTroubled && Math.random() < EXTRA_SHARE) {
    due.set(socket, { id, bytes: `HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n` })
  }
  return true
}

async function play (deployment, record) {
  await deployment.open({ controls: 3, gateways: 2, tolerance: 1 })
  await deployment.configure(configurationOf(1, {
    routes: [{ name: 'stock-check', path_prefix: PATH, route_type: 'non_idempotent', service: 'catalog-api', max_attempts: 2 }],
    services: [{ name: 'catalog-api' }]
  }))
  for (const [index, zone] of ['ulemiste', 'lasnamae', 'mustamae'].entries()) {
    await new Runner(deployment, { id: `i-${index + 1}`, service: 'catalog-api', zone, slots: 6, workMs: 40, onRequest }).start()
  }
  await deployment.ready()
  await sleep(2000)
  const clients = Array.from({ length: CLIENTS }, (_, index) => new Client(record, deployment.gateways[index % 2], `c${index + 1}`))
  const end = performance.now() + SECONDS * 1000
  await Promise.all(clients.map(async (client) => {
    while (performance.now() < end) {
      await client.send({ method: 'POST', path: `${PATH}2f`, deadlineMs: 1000, body: '{"part":1}' })
      await sleep(100 + 100 * Math.random())
    }
  }))
  await sleep(500)
  for (const client of clients) client.close()
}

function check (record) {
  const runs = new Map()
  for (const { attempt, runner, t } of record.of('run')) runs.set(attempt, [...runs.get(attempt) ?? [], `${runner} at ${t}`])
  const promised = record.of('answered').filter(({ status }) => [408, 421, 429, 503].includes(status))
  const answered = record.of('answered').filter(({ status }) => status === 200).length
  record.add('totals', { sent: record.of('sent').length, answered, turnedAway: record.of('turned away').length, seconds: record.of('second answer').length })
  if (answered < 100) throw new Error(`only ${answered} requests were answered`)
  return [
    ...[...runs].filter(([, places]) => places.length > 1).map(([attempt, places]) => `TWICE ${attempt} ran by ${places.join(' and by ')}`),
    ...promised.filter(({ attempt }) => runs.has(attempt)).map(({ attempt, status }) => `REFUSED ${attempt} got ${status} and ran by ${runs.get(attempt).join(', ')}`)
  ]
}

await runCase(dirname(fileURLToPath(import.meta.url)), play, check)
