/** HTTP servers for the readiness checks of the load balancer and for the metrics and status that operators read. */
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
      notReady: () => this.findNotReadyReason(),
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

  /** Returns why this process is not ready; undefined if it is. */
  private findNotReadyReason (): string | undefined {
    return this.services.ingress.isStopping ? 'stopping' : this.services.controlLinks.findNotReadyReason()
  }

  /**
   * Returns why the load balancer should send no requests here; undefined if it can. A process that has just started accepts
   * requests and holds them until it is ready.
   */
  private findUnavailableReason (): string | undefined {
    const reason = this.findNotReadyReason()
    const isHolding = !this.services.ingress.isStopping && isStartingUp(performance.now(), this.services.startedAt)
    return isHolding ? undefined : reason
  }

  /** Answers every path alike, since the load balancer only reads the status code. */
  private readinessApp (): Koa {
    const app = new Koa()
    app.use((context) => {
      const reason = this.findUnavailableReason()
      context.status = reason === undefined ? 200 : 503
      context.body = reason ?? 'ready'
    })
    return app
  }
}

export function createGatewayRegistry (): Registry {
  return createRegistry({ process: true })
}
