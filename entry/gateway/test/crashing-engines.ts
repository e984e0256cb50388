/** Engines whose process ends when it begins to run a certain body, and starts again at the same address. */
import { setTimeout as sleep } from 'node:timers/promises'
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { answerOk, StubEndpoint, type GatewayDeployment } from './gateway-deployment.ts'

/** After a crash the process is back after so long, in ms. */
export const RESTART_DELAY_MS = 250

const HEARTBEAT_MS = 500

export interface CrashingEnginesOptions {
  /** Whether a request with this body ends the process that runs it. */
  crashes: (body: string) => boolean
  /** How long a request runs before it is answered, or ends its engine, in ms. */
  runsForMs?: number
}

export class CrashingEngines {
  /** The bodies that each process that has ended was running then. */
  readonly crashes: string[][] = []
  /** The bodies that were run, with their time. */
  readonly runs: Array<{ body: string, at: number }> = []
  private readonly places: Array<{ standIn: StubEndpoint, running: string[], sequence: number }> = []
  private starts = 0
  private isOver = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly deployment: GatewayDeployment, private readonly options: CrashingEnginesOptions) {}

  async start (count: number): Promise<void> {
    for (let place = 0; place < count; place += 1) await this.startAt(place)
    this.timer = setInterval(() => { void this.beat() }, HEARTBEAT_MS)
  }

  /** Ends all processes for good. */
  stop (): void {
    this.isOver = true
    clearInterval(this.timer)
    for (const { standIn } of this.places) standIn.stop()
  }

  /** How many processes are up. */
  get upCount (): number {
    return this.places.filter(({ standIn }) => standIn.isListening).length
  }

  /** Ends the process at a place as a crash does, whatever it runs. */
  crash (place: number): void {
    const { standIn, running } = this.places[place] ?? this.missing(place)
    if (!standIn.isListening) return
    this.crashes.push([...running])
    standIn.stop()
    void this.backLater(place)
  }

  private async backLater (place: number): Promise<void> {
    await sleep(RESTART_DELAY_MS)
    if (!this.isOver) await this.startAt(place)
  }

  private async startAt (place: number): Promise<void> {
    this.starts += 1
    const running: string[] = []
    const standIn = new StubEndpoint(`i-${place}-${this.starts}`, 'app', (request, response, body) => {
      void this.run({ place, running, request, response, body })
    })
    const port = Number(this.places[place]?.standIn.address.split(':')[1] ?? 0)
    await standIn.start(port)
    this.places[place] = { standIn, running, sequence: 0 }
    await this.beat(place)
  }

  /** Has the endpoints that are up say so, or the one at a place. */
  private async beat (only?: number): Promise<void> {
    for (const [place, known] of this.places.entries()) {
      if (!known.standIn.isListening || (only !== undefined && only !== place)) continue
      known.sequence += 1
      const { incarnation, service, address, dataCentre } = known.standIn
      await this.deployment.control.get('registrar').receiveHeartbeat({
        incarnation, service, address, dataCentre, slots: 4, state: 'ready', sequence: known.sequence, ageMs: 0
      })
    }
  }

  private async run ({ place, running, request, response, body }: Run): Promise<void> {
    const { crashes, runsForMs = 20 } = this.options
    running.push(body)
    this.runs.push({ body, at: performance.now() })
    await sleep(runsForMs)
    if (crashes(body)) {
      this.crash(place)
    } else if (!response.destroyed) {
      running.splice(running.indexOf(body), 1)
      answerOk(request, response, body)
    }
  }

  private missing (place: number): never {
    throw new Error(`no place ${place}`)
  }
}

interface Run {
  place: number
  running: string[]
  request: IncomingMessage
  response: ServerResponse
  body: string
}
