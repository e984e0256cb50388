/** The entry's admin page: metrics, readiness, status and explanations. */
import { createAdminServer, type HttpServer } from '@gullwall/transport.http-server'
import { linkMetrics } from '@gullwall/transport.link'
import { type EntryServices } from './index.ts'

export class EntryAdmin {
  address = ''
  private server: HttpServer | undefined

  constructor (private readonly services: EntryServices) {}

  async start (): Promise<void> {
    const { registry, settings, decisions } = this.services
    linkMetrics(registry)
    this.server = createAdminServer({
      registry,
      notReady: () => this.notReady(),
      pages: {
        '/status': () => this.status(),
        '/explain': (query) => decisions.explain(query.get('request') ?? '')
      }
    })
    this.address = await this.server.listen(settings.admin)
  }

  async stop (): Promise<void> {
    await this.server?.close()
  }

  private notReady (): string | undefined {
    if (this.services.callers.isStopping) return 'stopping'
    return this.services.control.notReady()
  }

  private status (): object {
    const { settings, store, dispatcher, metrics, sidecars, callers } = this.services
    const services = new Set([...dispatcher.directory.all()].map((view) => view.description.serves))
    return {
      role: 'entry',
      box: settings.box,
      dataCentre: settings.dataCentre,
      revision: store.revision,
      links: sidecars.linkCount,
      queued: Object.fromEntries(dispatcher.countQueuedByClass()),
      classes: Object.fromEntries(metrics.byClass),
      retriesLeft: Object.fromEntries([...services].map((service) => [service, callers.retryBudget.remaining(service)])),
      endpoints: [...dispatcher.directory.all()].map((view) => ({
        ...view.load, box: view.sidecar.name, serves: view.description.serves, health: dispatcher.health.state(view.description.name)
      }))
    }
  }
}
