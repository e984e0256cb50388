/** A leave that control acknowledged is forgotten when its processes and the gateways are killed at once: the runner gets work again. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, Client, configurationOf, Runner, runCase, sleep } from '../stand-ins.mjs'

/** With TROUBLE=0 the script does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0'
const PATH = '/cufi504/'
const ROUNDS = 4
const CLIENTS = 24
const SERVICE = 'catalog-api'
/** From the start of the new runner until the old one leaves, in ms. */
const OVERLAP_MS = 250
/** From the acknowledgement of the leave until the kill, in ms. */
const KILL_AFTER_MS = 100
/** From the kill until the processes start again, in ms. */
const DOWN_MS = 500
/** For how long a runner that has left still serves, in ms: "at times many seconds". */
const LINGER_MS = 9000

async function startRunner (deployment, index) {
  const zone = ['ulemiste', 'lasnamae', 'mustamae'][index % 3]
  const runner = new Runner(deployment, { id: `i-${index + 1}`, service: SERVICE, zone, slots: 6, workMs: 20 })
  await runner.start()
  return runner
}

/** A runner that never reports `draining`: it sends DELETE first, serves on for a while, and ends. */
async function leave (runner) {
  runner.state = 'gone'
  const answer = await runner.tell('DELETE')
  runner.record.add('leave', { runner: runner.id, by: answer?.by })
  setTimeout(() => runner.stop(), LINGER_MS)
}

async function releaseOne (deployment, record, { oldRunner, index }) {
  await startRunner(deployment, index)
  await sleep(OVERLAP_MS)
  await leave(oldRunner)
  await sleep(KILL_AFTER_MS)
  if (isTroubled) {
    await Promise.all(deployment.machines.map(async (machine) => await machine.kill()))
    await sleep(DOWN_MS)
    for (const machine of deployment.machines) machine.start()
  }
  await sleep(LINGER_MS + 4000)
}

async function play (deployment, record) {
  await deployment.open({ controls: 5, gateways: 4, tolerance: 2 })
  await deployment.configure(configurationOf(1, {
    routes: [{ name: 'price-fetch', path_prefix: PATH, route_type: 'idempotent', service: SERVICE, max_attempts: 2 }],
    services: [{ name: SERVICE }]
  }))
  const runners = []
  for (let index = 0; index < ROUNDS; index += 1) runners.push(await startRunner(deployment, index))
  await deployment.ready()
  await sleep(4000)
  const traffic = { isOver: false }
  const clients = Array.from({ length: CLIENTS }, (_, index) => new Client(record, deployment.gateways[index % 4], `c${index + 1}`))
  const sending = clients.map(async (client) => {
    while (!traffic.isOver) {
      const { status } = await client.send({ method: 'GET', path: `${PATH}2f`, deadlineMs: 1000 })
      await sleep(status === 200 ? 100 + 100 * Math.random() : 250)
    }
  })
  for (const [round, oldRunner] of runners.entries()) await releaseOne(deployment, record, { oldRunner, index: ROUNDS + round })
  traffic.isOver = true
  await Promise.all(sending)
  for (const client of clients) client.close()
}

function check (record) {
  const starts = record.of('start').map(({ t }) => t)
  const sentAt = new Map(record.of('sent').map(({ attempt, t }) => [attempt, t]))
  const isInTouch = (t) => t - Math.max(...starts.filter((start) => start <= t)) >= BOUNDS.contact_ms
  const answered = record.of('answered').filter(({ status }) => status === 200).length
  record.add('totals', { sent: record.of('sent').length, answered })
  if (answered < 500) throw new Error(`only ${answered} requests were answered`)
  return record.of('leave').filter(({ by }) => by !== undefined).flatMap(({ runner, t: leftAt }) => (
    record.of('arrived')
      .filter((arrived) => arrived.runner === runner && arrived.t > leftAt + BOUNDS.drain_ms && isInTouch(sentAt.get(arrived.attempt)))
      .map(({ attempt, t }) => `DRAIN ${attempt} reached ${runner} ${Math.round(t - leftAt)} ms after its leave was acknowledged, ${Math.round(t - Math.max(...starts.filter((start) => start <= t)))} ms after the last start`)
  ))
}

await runCase(dirname(fileURLToPath(import.meta.url)), play, check)
