/** Reads a request's body within its bounds of size and time. */
import { type IncomingMessage } from 'node:http'
import { Either, Left, Right } from 'purify-ts'
import { type CallerError } from '@gullwall/entry.answers'
import { refusal } from './caller-dialect.ts'

export interface BodyLimits {
  maxBytes: number
  timeoutMs: number
}

export function readBody (request: IncomingMessage, limits: BodyLimits): Promise<Either<CallerError, Buffer>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  const tooLarge = () => Left(refusal(413, 'body_too_large', `the body may have at most ${limits.maxBytes} bytes`))
  if (declared > limits.maxBytes) return Promise.resolve(tooLarge())
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    const finish = (result: Either<CallerError, Buffer>) => {
      clearTimeout(timer)
      request.off('data', onData).off('end', onEnd).off('close', onClose)
      request.resume()
      resolve(result)
    }
    const onData = (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > limits.maxBytes) finish(tooLarge())
      else chunks.push(chunk)
    }
    const onEnd = () => finish(Right(Buffer.concat(chunks)))
    const onClose = () => finish(Left(refusal(400, 'body_cut_off', 'the connection closed before the body was whole')))
    const timer = setTimeout(() => {
      finish(Left(refusal(408, 'body_too_slow', `the body must arrive within ${limits.timeoutMs} ms`)))
    }, limits.timeoutMs)
    request.on('data', onData).on('end', onEnd).on('close', onClose)
  })
}
