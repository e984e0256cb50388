/** Binds an answer to the build that brought its first bytes: what two builds write does not fit together. */
import { type Dispatcher, type RoutedRequest } from '@gullwall/routing.dispatcher'

/** The label of endpoints that names the build of their software. */
const BUILD_LABEL = 'build'

interface Binding {
  endpoint: string
  /** Undefined if the endpoint names none. */
  build: string | undefined
}

export class StreamBinding {
  private binding: Binding | undefined

  constructor (private readonly request: RoutedRequest, private readonly dispatcher: Dispatcher) {}

  /** Returns the build of an endpoint, as its label names it; undefined if it has none. */
  findBuild (endpoint: string): string | undefined {
    const build = this.dispatcher.directory.labelsOf(endpoint)[BUILD_LABEL]
    return build === '' ? undefined : build
  }

  /** Binds the request to the endpoint that has brought its first bytes, and to all others of the same build where that is known. */
  bind (endpoint: string, build: string | undefined): void {
    this.binding ??= { endpoint, build }
    for (const { description: { name } } of this.dispatcher.directory.findReachableEndpoints(this.request)) {
      if (!this.allows(name)) this.request.avoidedEndpoints.add(name)
    }
  }

  /** Whether the request may be sent to an endpoint. */
  allows (endpoint: string): boolean {
    if (this.binding === undefined) return true
    return this.binding.build === undefined ? endpoint === this.binding.endpoint : this.findBuild(endpoint) === this.binding.build
  }

  /**
   * Whether the stream can go on after a break. An endpoint without a build may start again as another one, so that it goes on only with
   * a stream that it was asked to set aside.
   */
  canGoOn ({ isPreempted }: { isPreempted: boolean }): boolean {
    const isKnown = this.binding?.build !== undefined || isPreempted
    return isKnown && this.dispatcher.listUsableEndpoints(this.request).some(({ description }) => this.allows(description.name))
  }
}
