/**
 * The typed interface to a back end. Each dialect that engines or services
 * speak is one package behind it.
 */
import { type IncomingHttpHeaders } from 'node:http'
import { type Readable } from 'node:stream'

/** A call as it goes to a back end. */
export interface EndpointCall {
  method: string
  /** Path and query. */
  path: string
  headers: Record<string, string | string[]>
  body: Readable | Buffer | undefined
  signal: AbortSignal
}

/** The head of a back end's answer; the body follows as a stream. */
export interface EndpointAnswer {
  status: number
  headers: IncomingHttpHeaders
  body: Readable
}

/** What a model engine reports of itself; it comes late, and may be wrong. */
export interface ReportedLoad {
  inFlight: number
}

/** One back end. */
export interface Endpoint {
  /**
   * Runs a call.
   * @throws ERR_GULLWALL_ENDPOINT_REFUSED if it was certainly not run,
   *   ERR_GULLWALL_ENDPOINT_FAILED if that can't be told.
   */
  run (call: EndpointCall): Promise<EndpointAnswer>
  /** Reads the load report, where the dialect has one. */
  reportedLoad? (): Promise<ReportedLoad>
  close (): Promise<void>
}
