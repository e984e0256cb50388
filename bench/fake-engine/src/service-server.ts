/** A stand-in for a plain service: says what it was sent, and counts how often each call ran. */
import { HttpServer, Koa } from '@gullwall/transport.http-server'

export interface FakeServiceOptions {
  name: string
  /** How long a call takes, in ms. */
  delayMs?: number
}

/** One call as the service saw it. */
export interface SeenCall {
  method: string
  path: string
  headers: Record<string, string | string[] | undefined>
  body: string
}

export class FakeService {
  readonly calls: SeenCall[] = []
  private readonly http: HttpServer

  constructor (readonly options: FakeServiceOptions) {
    const app = new Koa()
    app.silent = true
    app.use(async (context) => {
      const chunks: Buffer[] = []
      for await (const chunk of context.req as AsyncIterable<Buffer>) chunks.push(chunk)
      const call: SeenCall = { method: context.method, path: context.url, headers: context.headers, body: Buffer.concat(chunks).toString('utf8') }
      this.calls.push(call)
      if (this.options.delayMs !== undefined) await new Promise((resolve) => setTimeout(resolve, this.options.delayMs))
      context.set('x-service', this.options.name)
      context.body = call
    })
    this.http = new HttpServer(app)
  }

  async start (address = '127.0.0.1:0'): Promise<string> {
    return await this.http.listen(address)
  }

  get address (): string {
    return this.http.address
  }

  async stop (): Promise<void> {
    await this.http.close()
  }
}
