import { execFile } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import OpenAI from 'openai'
import { expectedAnswer, promptText } from '@gullwall/bench.answers'
import { until } from '@gullwall/bench.deployment'
import { ProcessDeployment, readJson, type RunningProgram } from '@gullwall/bench.processes'
import { newOrganisationKey } from '@gullwall/config.records'

const CLI = fileURLToPath(new URL('../../../dist/gullwall.mjs', import.meta.url))
const run = promisify(execFile)
const counter = newOrganisationKey('counter')
const deployment = new ProcessDeployment({
  controls: 3,
  entries: [{ box: 'entry-1', dataCentre: 'ulemiste' }],
  boxes: [
    { box: 'runner-1', dataCentre: 'ulemiste', engines: [{ name: 'engine-1', model: 'parts' }] },
    { box: 'runner-2', dataCentre: 'lasnamae', engines: [{ name: 'engine-2', model: 'parts' }] }
  ],
  boxesPerEngineProcess: 1,
  speed: { stepMs: 5 },
  records: `
[class.interactive]
tier = 0
firstTokenMs = 700
maxWaitMs = 5000
[organisation.counter]
keys = ["${counter.hash}"]
classes = ["interactive"]
`
})

async function ask (id: string, tokens: number): Promise<string> {
  const client = new OpenAI({ apiKey: counter.key, baseURL: `http://${deployment.entries[0]?.listen ?? ''}/v1`, maxRetries: 0 })
  const stream = await client.chat.completions.create({
    model: 'parts', stream: true, messages: [{ role: 'user', content: promptText(id, tokens) }]
  })
  let text = ''
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
  return text
}

async function cli (...args: string[]): Promise<{ code: number, out: string }> {
  const control = deployment.controls.flatMap(({ listen }) => ['--control', listen])
  const connection = [...control, '--token', 'an-operator-token-for-loopback']
  try {
    const { stdout } = await run(process.execPath, [CLI, ...args, ...connection])
    return { code: 0, out: stdout }
  } catch (error) {
    const failed = error as { code: number, stdout: string, stderr: string }
    return { code: failed.code, out: failed.stdout + failed.stderr }
  }
}

describe('the programs as processes', () => {
  beforeAll(async () => await deployment.start(), 60_000)
  afterAll(async () => await deployment.stop())

  it('serve a request', async () => {
    expect(await ask('p1', 30)).toBe(expectedAnswer(promptText('p1', 30)))
  })

  it('resume a stream whose sidecar is killed, each token once', async () => {
    await retriesEarned()
    const answer = ask('killed', 300)
    const busy = await busySidecar()
    await busy.child.kill()
    expect(await answer).toBe(expectedAnswer(promptText('killed', 300)))
    deployment.sidecars.set(busy.settings, deployment.restart('gullwall-sidecar', busy))
    await deployment.settled()
  })

  it('a sidecar that is asked to stop cuts off nothing', async () => {
    const answers = Array.from({ length: 6 }, (_, index) => ask(`leave-${index}`, 200))
    const leaving = await busySidecar()
    await leaving.child.terminate()
    expect(leaving.child.exitCode).toBe(0)
    const texts = await Promise.all(answers)
    texts.forEach((text, index) => expect(text).toBe(expectedAnswer(promptText(`leave-${index}`, 200))))
    deployment.sidecars.set(leaving.settings, deployment.restart('gullwall-sidecar', leaving))
    await deployment.settled()
  })

  it('accept changes while a control process is lost, and keep them through a restart', async () => {
    const [first] = deployment.controls
    if (first === undefined) throw new Error('no control process')
    await first.child.kill()
    const labelled = await cli('label', 'class/interactive', 'desk=parts', '--wait')
    expect(labelled.out).toContain('accepted as revision 2')
    deployment.controls[0] = deployment.restart('gullwall-control', first)
    await until('the restarted process to catch up', async () => (await readJson<{ revision: number }>(first.admin, '/status'))?.revision === 2)
    const read = await cli('get', 'class/interactive')
    expect(JSON.parse(read.out)).toMatchObject({ revision: 2, records: { 'class/interactive': { labels: { desk: 'parts' } } } })
  })

  it('tell an operator of a lost race what the winner changed', async () => {
    const file = join(deployment.folder, 'race.toml')
    writeFileSync(file, '[selector.east]\nmatch = "dataCentre=east"\n')
    expect((await cli('apply', file, '--expect', '2')).out).toContain('accepted as revision 3')
    const late = await cli('apply', file, '--expect', '2')
    expect(late.code).toBe(3)
    expect(late.out).toContain('conflict: revision 3')
    expect(late.out).toContain('selector/east')
  })

  it('refuse a file with mistakes as a whole, with exit code 2', async () => {
    const file = join(deployment.folder, 'wrong.toml')
    writeFileSync(file, '[class.a]\ntier = 99\nfirstTokenMs = 1\nmaxWaitMs = 1\ncolour = "red"\n[organisation.b]\nkeys = []\n')
    const { code, out } = await cli('apply', file)
    expect(code).toBe(2)
    expect(out).toMatch(/wrong\.toml:2: class\.a\.tier: found 99/)
    expect(out).toMatch(/wrong\.toml:5: class\.a\.colour: found an unknown key/)
    expect(out).toContain('organisation.b.classes')
    expect(JSON.parse((await cli('get')).out).revision).toBe(3)
  })
})

/** Waits until the entry may send a retry; it earns them after its start. */
async function retriesEarned (): Promise<void> {
  await until('a retry', async () => {
    const status = await readJson<{ retriesLeft: Record<string, number> }>(deployment.entries[0]?.admin ?? '', '/status')
    return (status?.retriesLeft['parts'] ?? 0) >= 1
  })
}

async function busySidecar (): Promise<RunningProgram> {
  let found: RunningProgram | undefined
  await until('a sidecar to be busy', async () => {
    for (const sidecar of deployment.sidecars.values()) {
      const status = await readJson<{ endpoints: Array<{ inFlight: number }> }>(sidecar.admin, '/status')
      if (status?.endpoints.some((endpoint) => endpoint.inFlight > 0) === true) found = sidecar
    }
    return found !== undefined
  })
  if (found === undefined) throw new Error('no sidecar is busy')
  return found
}
