/** What binds a stream to a build of an endpoint's software. */

/** What is known of the software of an endpoint. */
export interface EndpointBuild {
  service: string
  /** Names one start of the endpoint. */
  incarnation: string
  /** The build of its software, as the endpoint names it; undefined if that is not known. */
  build?: string | undefined
}

/** The endpoint that brought the first event of a stream. */
export type BuildBinding = Readonly<EndpointBuild>

/** Binds a stream to the build of the endpoint that has brought its first event. */
export function bindTo ({ service, incarnation, build }: EndpointBuild): BuildBinding {
  return build === undefined ? { service, incarnation } : { service, incarnation, build }
}

/**
 * Whether a stream may go on at an endpoint. An unknown build equals no other one: it is then certain only that an incarnation has the
 * same build as itself.
 */
export function isSameBuild (binding: BuildBinding, endpoint: EndpointBuild): boolean {
  if (binding.service !== endpoint.service) return false
  if (binding.build !== undefined && endpoint.build !== undefined) return binding.build === endpoint.build
  return binding.incarnation === endpoint.incarnation
}

/** Describes a binding for a log line. */
export function describeBinding ({ service, incarnation, build }: BuildBinding): string {
  return build === undefined ? `the unknown build of ${incarnation}` : `build ${build} of ${service}`
}
