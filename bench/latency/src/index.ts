/** Measurements of one entry with its sidecars, against the stand-in engines reached directly. */
import { setMaxListeners } from 'node:events'
import { Pool } from 'undici'
import { promptText } from '@gullwall/bench.answers'
import { figures, ProcessDeployment, quantiles, type Quantiles } from '@gullwall/bench.processes'
import { newOrganisationKey, type NewKey } from '@gullwall/config.records'

export interface AddedLatency {
  inFlight: number
  samples: number
  direct: Quantiles
  through: Quantiles
  /** Difference of the medians, in ms. */
  addedP50: number
}

export interface Throughput {
  streams: number
  seconds: number
  tokensPerSecond: number
  entryCpuShare: number
  /** Tokens for one second of the entry's processor time. */
  tokensPerCpuSecond: number
  requestsPerSecond: number
  entryMemoryIdleMiB: number
  entryMemoryLoadedMiB: number
  memoryPerStreamKiB: number
}

const ORGANISATION = 'bench'
const MODEL = 'parts'
/** The model, and the engine's name, of the probes. */
const PROBE_MODEL = 'probe'
const PROBES = 200
const WARM_UP_PROBES = 100
const PROBE_STEP_MS = 5
/** More than any measurement takes; the streams are cut off at its end. */
const BACKGROUND_TOKENS = 100_000
const STREAMS = 1000
const TOKENS_PER_ANSWER = 400
const MEASURE_SECONDS = 6
const WARM_UP_MS = 3000
const MS_PER_SECOND = 1000
const MIB = 1024 * 1024
const KIB = 1024

/** First-token times of probes, on an engine of their own, while streams run on others through the same entry. */
export async function measureAddedLatency (inFlight: number): Promise<AddedLatency> {
  const key = newOrganisationKey(ORGANISATION)
  const deployment = createDeployment(key, { engines: 4, stepMs: 100, probeEngine: true })
  await deployment.start()
  try {
    const entry = deployment.entries[0]?.listen ?? ''
    const ended = new AbortController()
    setMaxListeners(0, ended.signal)
    const pool = createPool(entry)
    const background = Array.from({ length: inFlight - 1 }, async (_, index) => {
      await readAnswer(pool, { key, model: MODEL, id: `b${index}`, tokens: BACKGROUND_TOKENS, signal: ended.signal, onTokens: () => {} })
    })
    if (inFlight > 1) await pause(WARM_UP_MS)
    const direct = quantiles(await firstTokens(deployment.engineAddress(PROBE_MODEL), key))
    const through = quantiles(await firstTokens(entry, key))
    ended.abort()
    await Promise.allSettled(background)
    await pool.destroy()
    return { inFlight, samples: PROBES, direct, through, addedP50: through.p50 - direct.p50 }
  } finally {
    await deployment.stop()
  }
}

/** Tokens through one entry while many streams run, and what they cost it. */
export async function measureThroughput (): Promise<Throughput> {
  const key = newOrganisationKey(ORGANISATION)
  const deployment = createDeployment(key, { engines: 4, stepMs: 25 })
  await deployment.start()
  const entry = deployment.entries[0]
  if (entry === undefined) throw new Error('no entry')
  const idle = await figures(entry.admin)
  const pool = createPool(entry.listen)
  const ended = new AbortController()
  setMaxListeners(0, ended.signal)
  let tokens = 0
  let requests = 0
  const stream = async (index: number) => {
    while (!ended.signal.aborted) {
      await readAnswer(pool, { key, model: MODEL, id: `t${index}`, tokens: TOKENS_PER_ANSWER, signal: ended.signal, onTokens: (count) => { tokens += count } })
      requests += 1
    }
  }
  const streams = Array.from({ length: STREAMS }, async (_, index) => await stream(index))
  await pause(WARM_UP_MS)
  const before = { ...await figures(entry.admin), tokens, requests, at: performance.now() }
  await pause(MEASURE_SECONDS * MS_PER_SECOND)
  const after = { ...await figures(entry.admin), tokens, requests, at: performance.now() }
  ended.abort()
  await Promise.allSettled(streams)
  await pool.destroy()
  await deployment.stop()
  const seconds = (after.at - before.at) / MS_PER_SECOND
  const cpu = after.cpu - before.cpu
  return {
    streams: STREAMS,
    seconds,
    tokensPerSecond: (after.tokens - before.tokens) / seconds,
    entryCpuShare: cpu / seconds,
    tokensPerCpuSecond: (after.tokens - before.tokens) / cpu,
    requestsPerSecond: (after.requests - before.requests) / seconds,
    entryMemoryIdleMiB: idle.memory / MIB,
    entryMemoryLoadedMiB: after.memory / MIB,
    memoryPerStreamKiB: (after.memory - idle.memory) / STREAMS / KIB
  }
}

interface DeploymentShape {
  engines: number
  stepMs: number
  probeEngine?: boolean
}

function createDeployment (key: NewKey, options: DeploymentShape): ProcessDeployment {
  const probe = { box: 'probe', dataCentre: 'east', engines: [{ name: PROBE_MODEL, model: PROBE_MODEL, speed: { stepMs: PROBE_STEP_MS } }] }
  return new ProcessDeployment({
    controls: 1,
    entries: [{ box: 'entry-1', dataCentre: 'east' }],
    boxes: [
      ...Array.from({ length: options.engines }, (_, index) => ({
        box: `runner-${index + 1}`, dataCentre: 'east', engines: [{ name: `engine-${index + 1}-1`, model: MODEL }]
      })),
      ...(options.probeEngine === true ? [probe] : [])
    ],
    boxesPerEngineProcess: 1,
    speed: { stepMs: options.stepMs, perStreamMs: 0.001, prefillMsPerToken: 0.001, maxBatch: STREAMS },
    startLimit: STREAMS,
    maxLimit: STREAMS,
    logLevel: 'warn',
    records: `
[class.bench]
tier = 0
firstTokenMs = 5000
betweenTokensMs = 1000
maxWaitMs = 10000
[organisation.${ORGANISATION}]
keys = ["${key.hash}"]
classes = ["bench"]
`
  })
}

/** Sends probes one after another and gives their first-token times, in ms. */
async function firstTokens (address: string, key: NewKey): Promise<number[]> {
  const pool = createPool(address)
  const times: number[] = []
  const { signal } = new AbortController()
  for (let probe = 0; probe < WARM_UP_PROBES + PROBES; probe++) {
    const startedAt = performance.now()
    let firstAt = 0
    await readAnswer(pool, { key, model: PROBE_MODEL, id: `l${probe}`, tokens: 2, signal, onTokens: () => { firstAt ||= performance.now() } })
    if (probe >= WARM_UP_PROBES) times.push(firstAt - startedAt)
  }
  await pool.destroy()
  return times
}

interface AnswerOptions {
  key: NewKey
  model: string
  id: string
  tokens: number
  signal: AbortSignal
  onTokens: (count: number) => void
}

function createPool (address: string): Pool {
  return new Pool(`http://${address}`, { headersTimeout: 0, bodyTimeout: 0 })
}

async function readAnswer (pool: Pool, options: AnswerOptions): Promise<void> {
  const { key, model, id, tokens, signal, onTokens } = options
  const answer = await pool.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { authorization: `Bearer ${key.key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, stream: true, messages: [{ role: 'user', content: promptText(id, tokens) }] }),
    signal
  })
  const MARK = Buffer.from('data: {')
  for await (const bytes of answer.body as AsyncIterable<Buffer>) {
    let count = 0
    for (let at = bytes.indexOf(MARK); at >= 0; at = bytes.indexOf(MARK, at + 1)) count += 1
    if (count > 0) onTokens(count)
  }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
