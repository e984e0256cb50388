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

/** Takes a back end's answer as it arrives. */
export interface ResponseReceiver {
  onHead: (status: number, headers: IncomingHttpHeaders) => void
  /** A promise holds the back end up until it resolves. */
  onData: (chunk: Buffer) => Promise<void> | undefined
}

/** What a model engine reports of itself; it comes late, and may be wrong. */
export interface ReportedLoad {
  inFlight: number
}

/** The head of any answer of a back end, interim ones included. */
export interface ResponseHead {
  status: number
  headers: IncomingHttpHeaders
  /** When the request was sent that it answers, by the monotonic clock. */
  sentAt: number
}

/** Told of each head that a back end sends, whatever it was asked. */
export type ResponseHeadListener = (head: ResponseHead) => void

/** One back end. */
export interface Endpoint {
  /**
   * Runs a call; resolves when its answer is whole.
   * @throws ERR_GULLWALL_ENDPOINT_REFUSED if it was certainly not run,
   *   ERR_GULLWALL_ENDPOINT_FAILED if that can't be told.
   */
  run (call: EndpointCall, receiver: ResponseReceiver): Promise<void>
  /** Reads the load report, where the dialect has one. */
  readReportedLoad? (): Promise<ReportedLoad>
  /** Asks for a head only, for what the back end says of itself; it is no work. */
  probe (): Promise<void>
  close (): Promise<void>
}
