/** Engines whose process crashes while it runs a certain body, and restarts at the same address. */
import { setTimeout as sleep } from 'node:timers/promises'
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { answerOk, StubEndpoint, type GatewayDeployment } from './gateway-deployment.ts'

/** Time between a crash and the restart of the process, in ms. */
export const RESTART_DELAY_MS = 250

const HEARTBEAT_MS = 500

export interface CrashingEnginesOptions {
  /** Whether a request with this body crashes the process that runs it. */
  crashes: (body: string) => boolean
  /** Time after which a request receives its response, or crashes its engine, in ms. */
  runsForMs?: number
  /** Whether an engine that crashes has sent the head and the first event of its response. */
  crashesWhileWriting?: boolean
}

export class CrashingEngines {
  /** The bodies that were running at each crash. */
  readonly crashes: string[][] = []
  /** The bodies that were run, with the start times. */
  readonly runs: Array<{ body: string, at: number }> = []
  private readonly slots: Array<{ endpoint: StubEndpoint, running: string[], sequence: number }> = []
  private starts = 0
  private isOver = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly deployment: GatewayDeployment, private readonly options: CrashingEnginesOptions) {}

  async start (count: number): Promise<void> {
    for (let slot = 0; slot < count; slot += 1) await this.startAt(slot)
    this.timer = setInterval(() => { void this.sendHeartbeats() }, HEARTBEAT_MS)
  }

  /** Ends all processes without a restart. */
  stop (): void {
    this.isOver = true
    clearInterval(this.timer)
    for (const { endpoint } of this.slots) endpoint.stop()
  }

  /** Number of processes that are running. */
  get upCount (): number {
    return this.slots.filter(({ endpoint }) => endpoint.isListening).length
  }

  /** Crashes the process in a slot, whatever it runs. */
  crash (slot: number): void {
    const { endpoint, running } = this.slots[slot] ?? this.missing(slot)
    if (!endpoint.isListening) return
    this.crashes.push([...running])
    endpoint.stop()
    void this.restartLater(slot)
  }

  private async restartLater (slot: number): Promise<void> {
    await sleep(RESTART_DELAY_MS)
    if (!this.isOver) await this.startAt(slot)
  }

  private async startAt (slot: number): Promise<void> {
    this.starts += 1
    const running: string[] = []
    const endpoint = new StubEndpoint(`i-${slot}-${this.starts}`, 'app', (request, response, body) => {
      void this.run({ slot, running, request, response, body })
    })
    const port = Number(this.slots[slot]?.endpoint.address.split(':')[1] ?? 0)
    await endpoint.start(port)
    this.slots[slot] = { endpoint, running, sequence: 0 }
    await this.sendHeartbeats(slot)
  }

  /** Sends heartbeats for all running engines, or only for the one in a slot. */
  private async sendHeartbeats (only?: number): Promise<void> {
    for (const [slot, known] of this.slots.entries()) {
      if (!known.endpoint.isListening || (only !== undefined && only !== slot)) continue
      known.sequence += 1
      const { incarnation, service, address, dataCentre } = known.endpoint
      await this.deployment.control.get('registrar').receiveHeartbeat({
        incarnation, service, address, dataCentre, slots: 4, state: 'ready', sequence: known.sequence, ageMs: 0
      })
    }
  }

  private async run ({ slot, running, request, response, body }: Run): Promise<void> {
    const { crashes, runsForMs = 20, crashesWhileWriting = false } = this.options
    running.push(body)
    this.runs.push({ body, at: performance.now() })
    await sleep(runsForMs)
    if (crashes(body)) {
      if (crashesWhileWriting) await writeFirstEvent(request, response)
      this.crash(slot)
    } else if (!response.destroyed) {
      running.splice(running.indexOf(body), 1)
      if (crashesWhileWriting) await writeFirstEvent(request, response)
      if (crashesWhileWriting) response.end('id: 2\ndata: 2\n\n')
      else answerOk(request, response, body)
    }
  }

  private missing (slot: number): never {
    throw new Error(`no slot ${slot}`)
  }
}

async function writeFirstEvent (request: IncomingMessage, response: ServerResponse): Promise<void> {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(request.headers['x-gullwall-request-id'] ?? '') })
  await new Promise<void>((resolve) => response.write('id: 1\ndata: 1\n\n', () => resolve()))
}

interface Run {
  slot: number
  running: string[]
  request: IncomingMessage
  response: ServerResponse
  body: string
}
