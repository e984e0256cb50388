/** The interface to an endpoint. Each API dialect of engines or services is a package that implements it. */
import { type IncomingHttpHeaders } from 'node:http'
import { type Readable } from 'node:stream'

/** A request to an endpoint. */
export interface EndpointCall {
  method: string
  /** Path and query. */
  path: string
  headers: Record<string, string | string[]>
  body: Readable | Buffer | undefined
  signal: AbortSignal
}

/** Receives an endpoint's response while it arrives. */
export interface ResponseReceiver {
  /** Called with the status and headers of the final response. */
  onHead: (status: number, headers: IncomingHttpHeaders) => void
  /** Called with each chunk of the body. If it returns a promise, reading pauses until the promise resolves. */
  onData: (chunk: Buffer) => Promise<void> | undefined
}

/** The load that a model engine reports about itself. It is delayed and may be wrong. */
export interface ReportedLoad {
  inFlight: number
}

/** The status and headers of a response, including interim responses. */
export interface ResponseHead {
  status: number
  headers: IncomingHttpHeaders
  /** When the request was sent, in ms of the monotonic clock. */
  sentAt: number
}

/** Called with the headers of every response of an endpoint, including responses to probes and load queries. */
export type ResponseHeadListener = (head: ResponseHead) => void

/** A back end that runs requests. */
export interface Endpoint {
  /**
   * Runs a request; resolves when the response is complete.
   * @throws ERR_GULLWALL_ENDPOINT_REFUSED or ERR_GULLWALL_UNSENT if no byte of the request was written,
   *   ERR_GULLWALL_ENDPOINT_FAILED, ERR_GULLWALL_FOREIGN_RESPONSE or ERR_GULLWALL_ENDLESS_RESPONSE if it may have run.
   */
  run (call: EndpointCall, receiver: ResponseReceiver): Promise<void>
  /** Queries the load report, if the dialect has one. */
  readReportedLoad? (): Promise<ReportedLoad>
  /** Requests only response headers, to read the notices in them. A probe does not count as a request in flight. */
  probe (): Promise<void>
  close (): Promise<void>
}
