/** Many stand-in engines in one process, with one admin address for faults and the ledger. */
import { z } from 'zod'
import { checkValue, formatMistakes } from '@gullwall/config.checker'
import { addressSchema } from '@gullwall/config.settings'
import { HttpServer, Koa, Router } from '@gullwall/transport.http-server'
import { DEFAULT_SPEED } from './batch.ts'
import { FakeEngine } from './engine-server.ts'
import { Ledger } from './ledger.ts'

const positive = z.number().positive()

export const fakeEngineSettingsSchema = z.strictObject({
  admin: addressSchema,
  engines: z.array(z.strictObject({
    name: z.string(),
    model: z.string(),
    listen: addressSchema,
    checksFence: z.boolean().default(false),
    reportLagMs: z.number().min(0).default(1000),
    speed: z.strictObject({
      stepMs: positive.default(DEFAULT_SPEED.stepMs),
      perStreamMs: positive.default(DEFAULT_SPEED.perStreamMs),
      prefillMsPerToken: positive.default(DEFAULT_SPEED.prefillMsPerToken),
      maxBatch: z.number().int().positive().default(DEFAULT_SPEED.maxBatch),
      prefixCacheEntries: z.number().int().positive().default(DEFAULT_SPEED.prefixCacheEntries)
    }).default(DEFAULT_SPEED)
  })).min(1)
})

export type FakeEngineSettings = z.infer<typeof fakeEngineSettingsSchema>

const faultSchema = z.strictObject({
  engine: z.string(),
  kind: z.enum(['none', 'slow', 'freeze', 'crash', 'lie']),
  factor: positive.default(5)
})

export class FakeEngineHost {
  readonly ledger = new Ledger()
  readonly engines = new Map<string, FakeEngine>()
  private readonly admin: HttpServer

  constructor (private readonly settings: FakeEngineSettings) {
    for (const engine of settings.engines) this.engines.set(engine.name, new FakeEngine({ ...engine, ledger: this.ledger }))
    this.admin = new HttpServer(this.createAdmin())
  }

  async start (): Promise<string> {
    for (const { name, listen } of this.settings.engines) await this.engines.get(name)?.start(listen)
    return await this.admin.listen(this.settings.admin)
  }

  async stop (): Promise<void> {
    for (const engine of this.engines.values()) await engine.stop()
    await this.admin.close()
  }

  private createAdmin (): Koa {
    const router = new Router()
    router.get('/ledger', (context) => { context.body = this.ledger.runs })
    router.post('/faults', async (context) => {
      const chunks: Buffer[] = []
      for await (const chunk of context.req as AsyncIterable<Buffer>) chunks.push(chunk)
      const asked = checkValue(JSON.parse(Buffer.concat(chunks).toString('utf8')), faultSchema, { file: 'request' })
      asked.caseOf({
        Left: (mistakes) => {
          context.status = 400
          context.body = { message: formatMistakes(mistakes) }
        },
        Right: (fault) => {
          const engine = this.engines.get(fault.engine)
          if (engine !== undefined) applyFault(engine, fault)
          context.status = engine === undefined ? 404 : 200
          context.body = { done: engine !== undefined }
        }
      })
    })
    const app = new Koa()
    app.silent = true
    app.use(router.routes())
    return app
  }
}

function applyFault (engine: FakeEngine, fault: z.infer<typeof faultSchema>): void {
  switch (fault.kind) {
    case 'none':
      engine.lies = false
      engine.setFault({ kind: 'none' })
      break
    case 'slow': engine.setFault({ kind: 'slow', factor: fault.factor }); break
    case 'freeze': engine.setFault({ kind: 'freeze' }); break
    case 'crash': engine.crash(); break
    case 'lie': engine.lies = true; break
  }
}
