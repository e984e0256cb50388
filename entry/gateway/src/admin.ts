/** Readiness for the balancer, and metrics and status for operators. */
import { createRegistry, type Registry } from '@gullwall/core.metrics'
import { createAdminServer, HttpServer, Koa, type HttpServer as Server } from '@gullwall/transport.http-server'
import { linkMetrics } from '@gullwall/transport.link'
import { registerStateGauges } from './metrics.ts'
import { type GatewayServices } from './index.ts'
import { isStartingUp } from './start-up.ts'

export class GatewayAdmin {
  address = ''
  readinessAddress = ''
  private admin: Server | undefined
  private readiness: Server | undefined

  constructor (private readonly services: GatewayServices) {}

  async start (): Promise<void> {
    const { settings, registry, view, store, crossRegionTraffic, coldEndpoints, limits, notices } = this.services
    linkMetrics(registry)
    registerStateGauges(registry, this.services)
    this.admin = createAdminServer({
      registry,
      notReady: () => this.notReady(),
      pages: {
        '/status': () => ({
          role: 'gateway',
          box: settings.box,
          revision: store.revision,
          version: view.table?.version,
          documentAgeMs: view.table === undefined ? undefined : view.documentAgeMs,
          leaving: crossRegionTraffic.sent,
          cold: coldEndpoints.coldCount,
          limited: limits.limitedEndpoints(),
          resting: notices.backoffs.listActive(),
          leases: view.leases.toWire()
        })
      }
    })
    this.address = await this.admin.listen(settings.admin)
    this.readiness = new HttpServer(this.readinessApp())
    this.readinessAddress = await this.readiness.listen(settings.readiness)
  }

  async stop (): Promise<void> {
    await this.readiness?.close()
    await this.admin?.close()
  }

  private notReady (): string | undefined {
    return this.services.ingress.isStopping ? 'stopping' : this.services.controlLinks.findNotReadyReason()
  }

  /** Why the balancer should send nothing here; a process that has just started takes requests and holds them. */
  private takesNothing (): string | undefined {
    const why = this.notReady()
    const isHolding = !this.services.ingress.isStopping && isStartingUp(performance.now(), this.services.startedAt)
    return isHolding ? undefined : why
  }

  /** Whatever the path: the balancer only looks at the status. */
  private readinessApp (): Koa {
    const app = new Koa()
    app.use((context) => {
      const why = this.takesNothing()
      context.status = why === undefined ? 200 : 503
      context.body = why ?? 'ready'
    })
    return app
  }
}

export function createGatewayRegistry (): Registry {
  return createRegistry({ process: true })
}
