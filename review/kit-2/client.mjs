/** Clients: requests on kept connections, and one that reads its answer slowly. */
import { Agent, request } from 'node:http'
import { createConnection } from 'node:net'

const MS_PER_S = 1000

/** A client that keeps one connection for its requests. */
export class KeptClient {
  constructor (record, address) {
    this.record = record
    const [host, port] = address.split(':')
    Object.assign(this, { host, port, agent: new Agent({ keepAlive: true, maxSockets: 1 }) })
  }

  /** Sends a request; resolves with what came of it and when, and never rejects. */
  send ({ id, method = 'GET', path, headers, body }) {
    const { record, agent, host, port } = this
    const sentAt = record.now
    record.note(`${id} is sent: ${method} ${path}`)
    return new Promise((resolve) => {
      const finish = (result) => {
        record.note(`${id} ends after ${record.now - sentAt} ms: ${result.status ?? result.failure}`)
        resolve({ id, sentAt, endedAt: record.now, ...result })
      }
      const sent = request({ host, port, method, path, headers, agent }, (response) => {
        let bytes = 0
        response.on('data', (chunk) => { bytes += chunk.length })
        response.on('end', () => finish({ status: response.statusCode, headers: response.headers, bytes, isWhole: response.complete }))
        response.on('error', (error) => finish({ failure: error.code ?? error.message }))
      })
      sent.on('error', (error) => finish({ failure: error.code ?? error.message }))
      sent.end(body)
    })
  }

  close () {
    this.agent.destroy()
  }
}

/** Reads the answer to one request on a raw connection at a number of bytes a second; resolves when the connection or the answer ends. */
export function readSlowly (record, address, { id, method = 'GET', path, headers, bytesPerS }) {
  const [host, port] = address.split(':')
  const state = { id, sentAt: record.now, head: undefined, bodyBytes: 0, expectedBytes: undefined, failure: undefined }
  const socket = createConnection(Number(port), host)
  const lines = [`${method} ${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)]
  record.note(`${id} is sent: ${method} ${path}`)
  socket.write(`${lines.join('\r\n')}\r\n\r\n`)
  let text = ''
  const readPart = (chunk) => {
    if (state.head === undefined) {
      text += chunk.toString('latin1')
      const end = text.indexOf('\r\n\r\n')
      if (end < 0) return
      state.head = text.slice(0, end)
      state.status = Number(state.head.split(' ')[1])
      state.expectedBytes = Number(/content-length: (\d+)/i.exec(state.head)?.[1])
      state.bodyBytes = text.length - end - 4
    } else {
      state.bodyBytes += chunk.length
    }
  }
  state.isOver = new Promise((resolve) => {
    const finish = (how) => {
      if (state.endedAt !== undefined) return
      state.endedAt = record.now
      state.isWhole = state.bodyBytes === state.expectedBytes
      record.note(`${id}: ${how} after ${record.now - state.sentAt} ms, status ${state.status}, ${state.bodyBytes} of ${state.expectedBytes} bytes`)
      socket.destroy()
      resolve(state)
    }
    socket.on('data', (chunk) => {
      readPart(chunk)
      if (state.bodyBytes === state.expectedBytes) {
        finish('the answer is whole')
        return
      }
      socket.pause()
      setTimeout(() => socket.resume(), chunk.length / bytesPerS * MS_PER_S)
    })
    socket.on('error', (error) => finish(`the connection fails (${error.code})`))
    socket.on('close', () => finish('the connection is closed'))
  })
  return state
}
