/** A model engine. */
import { z } from 'zod'
import { type ResponseReceiver, type Endpoint, type EndpointCall, type ResponseHeadListener, type ReportedLoad } from '@gullwall/endpoint.dialect'
import { HttpEndpoint } from '@gullwall/endpoint.http'

export const CHAT_PATH = '/v1/chat/completions'
const LOAD_PATH = '/load'
const loadSchema = z.object({ in_flight: z.number().int().min(0) })

export class OpenAiEngine implements Endpoint {
  private readonly http: HttpEndpoint

  /** @param onAnyHead told of each head that arrives */
  constructor (name: string, address: string, onAnyHead?: ResponseHeadListener) {
    this.http = new HttpEndpoint(name, address, onAnyHead)
  }

  run (call: EndpointCall, receiver: ResponseReceiver): Promise<void> {
    return this.http.run(call, receiver)
  }

  async readReportedLoad (): Promise<ReportedLoad> {
    const report = loadSchema.parse(await this.http.getJson(LOAD_PATH))
    return { inFlight: report.in_flight }
  }

  probe (): Promise<void> {
    return this.http.probe()
  }

  close (): Promise<void> {
    return this.http.close()
  }
}
