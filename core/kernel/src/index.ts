/**
 * The micro-kernel: an awilix container in which services find each other by
 * name. Services start in the order of registration, which must follow their
 * dependencies, and stop in reverse order within a deadline.
 */
import { createContainer, asFunction, asValue, InjectionMode, type AwilixContainer } from 'awilix'
import { GullwallError, toGullwallError } from '@gullwall/core.error'

/** What the kernel asks of a service. Both calls are optional. */
export interface Service {
  start?: () => Promise<void> | void
  /** Ends the service; work in flight is finished first. */
  stop?: () => Promise<void> | void
}

/** Builds a service from the other services, by name. */
export type ServiceFactory<Services extends object, T> = (services: Services) => T

export interface KernelOptions {
  /** How long all services together may take to stop, in ms. */
  stopDeadlineMs?: number
}

const DEFAULT_STOP_DEADLINE_MS = 120_000

export class Kernel<Services extends object> {
  private readonly container: AwilixContainer<Services>
  private readonly names: string[] = []
  private readonly started: string[] = []
  /** The start that is under way, if any; it never rejects. */
  private starting: Promise<void> = Promise.resolve()
  private isStopping = false
  private readonly stopDeadlineMs: number

  constructor (options: KernelOptions = {}) {
    this.container = createContainer<Services>({ injectionMode: InjectionMode.PROXY, strict: true })
    this.stopDeadlineMs = options.stopDeadlineMs ?? DEFAULT_STOP_DEADLINE_MS
  }

  /** Registers a plain value, such as the settings. */
  value<Name extends keyof Services & string> (name: Name, value: Services[Name]): this {
    this.container.register(name, asValue(value))
    return this
  }

  /** Registers a service; one instance is made for the process. */
  service<Name extends keyof Services & string> (name: Name, factory: ServiceFactory<Services, Services[Name]>): this {
    this.container.register(name, asFunction(factory as (services: Services) => Services[Name]).singleton())
    this.names.push(name)
    return this
  }

  /** All services by name. */
  get services (): Services {
    return this.container.cradle
  }

  /** Gives a service by its name. */
  get<Name extends keyof Services & string> (name: Name): Services[Name] {
    return this.container.resolve(name)
  }

  /** Starts every service in order; if one fails, those already started are stopped again. Ends early where a stop is asked for. */
  async start (): Promise<void> {
    const started = this.startAll()
    this.starting = started.catch(() => {})
    await started
  }

  private async startAll (): Promise<void> {
    for (const name of this.names) {
      if (this.isStopping) return
      try {
        const service = this.container.resolve(name) as Service
        await service.start?.()
        this.started.push(name)
      } catch (error) {
        await this.stopStarted(Promise.resolve())
        throw toGullwallError(error, { step: `start ${name}` })
      }
    }
  }

  /**
   * Stops the started services in reverse order, after the one that is just starting.
   * @throws ERR_GULLWALL_STOP_DEADLINE naming the service that did not end in time.
   */
  async stop (): Promise<void> {
    this.isStopping = true
    await this.stopStarted(this.starting)
  }

  private async stopStarted (starting: Promise<void>): Promise<void> {
    let current = ''
    const stopAll = async () => {
      await starting
      for (let name = this.started.pop(); name !== undefined; name = this.started.pop()) {
        current = name
        const service = this.container.resolve(name) as Service
        await service.stop?.()
      }
    }
    await withDeadline(stopAll(), this.stopDeadlineMs, () => current)
  }
}

async function withDeadline (work: Promise<void>, deadlineMs: number, current: () => string): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  const deadline = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => {
      reject(new GullwallError('ERR_GULLWALL_STOP_DEADLINE', `service ${current()} did not stop within ${deadlineMs} ms`,
        { step: `stop ${current()}` }))
    }, deadlineMs)
  })
  try {
    await Promise.race([work, deadline])
  } finally {
    clearTimeout(timer)
  }
}
