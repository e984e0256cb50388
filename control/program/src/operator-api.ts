/** The HTTP interface for operators. Every control process serves it. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { type Context, type Next } from 'koa'
import { z } from 'zod'
import { checkValue, formatMistakes } from '@gullwall/config.checker'
import { checkChanges } from '@gullwall/config.records'
import { addressSchema } from '@gullwall/config.settings'
import { toGullwallError } from '@gullwall/core.error'
import { newStartId } from '@gullwall/core.ids'
import { changeToRelease, heldPartsIn, heldRequestsIn, type ApplyCommand, type ApplyResult } from '@gullwall/control.state'
import { Koa, Router } from '@gullwall/transport.http-server'
import { leaseSchema, type MessageOf } from '@gullwall/transport.messages'
import { HttpCaller } from './order-caller.ts'
import { readBody } from './read-body.ts'
import { type ControlServices } from './index.ts'

const operationSchema = z.strictObject({
  operationId: z.string().min(1).max(100),
  expectedRevision: z.number().int().min(0).nullable().default(null),
  operator: z.string().min(1).max(100),
  changes: z.array(z.strictObject({ key: z.string(), value: z.string().nullable() })).min(1)
})

/** The body of an endpoint's heartbeat. */
const heartbeatSchema = leaseSchema.omit({ incarnation: true, ageMs: true })

const newMemberSchema = z.strictObject({ name: z.string().min(1), address: addressSchema })

/** Status codes of errors that the operator must correct. After any other error the change may not have been accepted. */
const STATUS_BY_CODE: Record<string, number> = {
  ERR_GULLWALL_BODY: 400,
  ERR_GULLWALL_MEMBER_EXISTS: 409,
  ERR_GULLWALL_NO_SUCH_DATA_CENTRE: 404,
  ERR_GULLWALL_NO_SUCH_MEMBER: 404,
  ERR_GULLWALL_LAST_VOTER: 409,
  ERR_GULLWALL_TOO_LARGE: 413
}
const DEFAULT_ERROR_STATUS = 503

export function createOperatorApi (services: ControlServices, inForce: () => Promise<MessageOf<'inForce'>['processes']>): Koa {
  const { proposer, store, state, quorum, members, settings } = services
  const router = new Router({ prefix: '/v1' })

  router.post('/operations', async (context) => await applyOperation(context, services))
  router.get('/records', async (context) => {
    await proposer.confirmRevision()
    context.body = { revision: store.revision, records: Object.fromEntries(store.records.entries()) }
  })
  router.get('/history', (context) => {
    const since = Number(context.query['since'] ?? 0)
    context.body = { revision: state.revision, history: state.history.filter((entry) => entry.revision > since) }
  })
  router.get('/in-force', async (context) => { context.body = { revision: store.revision, processes: await inForce() } })
  router.get('/status', (context) => {
    const { evacuated } = services.evacuations
    context.body = { quorum: quorum.status(), revision: store.revision, claims: state.claims.size, boxes: members.all(), evacuated }
  })
  router.post('/control/members', async (context) => {
    const parsed = checkValue(await readBody(context.req), newMemberSchema, { file: 'request' })
    await parsed.caseOf({
      Left: async (mistakes) => badRequest(context, formatMistakes(mistakes)),
      Right: async ({ name, address }) => {
        await quorum.addMember(name, address)
        context.body = quorum.status()
      }
    })
  })
  router.delete('/control/members/:name', async (context) => {
    await quorum.removeMember(String(context.params['name']))
    context.body = quorum.status()
  })

  router.put('/document', async (context) => await putDocument(context, services))
  router.get('/document', async (context) => {
    const document = await services.documents.read()
    context.status = document === undefined ? 404 : 200
    context.body = document ?? { type: 'failed', message: 'no document has been accepted yet' }
  })
  router.put('/leases/:incarnation', async (context) => await putLease(context, services))
  router.delete('/leases/:incarnation', async (context) => {
    await services.registrar.markGone(String(context.params['incarnation']))
    context.body = {}
  })

  router.put('/evacuations/:dataCentre', async (context) => await orderEvacuation(context, services, true))
  router.delete('/evacuations/:dataCentre', async (context) => await orderEvacuation(context, services, false))
  router.get('/evacuations', async (context) => { context.body = { evacuations: Object.fromEntries(await services.evacuations.read()) } })

  router.get('/quarantine', async (context) => {
    await proposer.confirmRevision()
    const parts = [...heldPartsIn(store.records)].map(([name, held]) => ({ name, ...held }))
    context.body = { revision: store.revision, parts, requests: [...heldRequestsIn(store.records)] }
  })
  router.delete('/quarantine/:name', async (context) => await releaseFromQuarantine(context, services))

  const app = new Koa()
  app.silent = true
  app.use(reportErrors)
  app.use(async (context, next) => await authenticate(context, next, settings.operatorToken))
  app.use(router.routes())
  return app
}

async function applyOperation (context: Context, services: ControlServices): Promise<void> {
  const parsed = checkValue(await readBody(context.req), operationSchema, { file: 'request' })
    .chain((operation) => checkChanges(operation.changes).map(() => operation))
  await parsed.caseOf({
    Left: async (mistakes) => badRequest(context, formatMistakes(mistakes)),
    Right: async (operation) => {
      const command: ApplyCommand = { type: 'apply', ...operation, at: new Date().toISOString() }
      const result = await services.proposer.applyOperation(command)
      context.status = statusOf(result)
      context.body = result
    }
  })
}

async function putDocument (context: Context, { documents }: ControlServices): Promise<void> {
  const outcome = await documents.put(JSON.stringify(await readBody(context.req)))
  outcome.caseOf({
    Left: (mistakes) => badRequest(context, formatMistakes(mistakes)),
    Right: (result) => { context.body = result }
  })
}

async function putLease (context: Context, { registrar }: ControlServices): Promise<void> {
  const parsed = checkValue(await readBody(context.req), heartbeatSchema, { file: 'heartbeat' })
  await parsed.caseOf({
    Left: async (mistakes) => badRequest(context, formatMistakes(mistakes)),
    Right: async (heartbeat) => {
      await registrar.receiveHeartbeat({ ...heartbeat, incarnation: String(context.params['incarnation']), ageMs: 0 })
      context.body = {}
    }
  })
}

async function orderEvacuation (context: Context, { evacuations }: ControlServices, isEvacuated: boolean): Promise<void> {
  const dataCentre = String(context.params['dataCentre'])
  context.body = await evacuations.order({ dataCentre, isEvacuated, caller: new HttpCaller(context.res) })
}

async function releaseFromQuarantine (context: Context, { proposer, store }: ControlServices): Promise<void> {
  const name = String(context.params['name'])
  await proposer.confirmRevision()
  const part = heldPartsIn(store.records).get(name)
  if (part !== undefined) {
    context.body = await proposer.applyOperation({
      type: 'apply',
      operationId: newStartId(),
      expectedRevision: null,
      changes: [changeToRelease(part)],
      operator: String(context.query['operator'] ?? ''),
      at: new Date().toISOString()
    })
  } else if (heldRequestsIn(store.records).has(name)) {
    context.body = await proposer.applyQuarantineCommand({ type: 'forget-crashes', endpoints: [], requests: [name] })
  } else {
    context.status = 404
    context.body = { type: 'failed', code: 'ERR_GULLWALL_NOT_QUARANTINED', message: `${name} is not quarantined`, hint: 'see gullwall quarantine list' }
  }
}

function statusOf (result: ApplyResult): number {
  switch (result.type) {
    case 'accepted': return 200
    case 'conflict': return 409
    case 'invalid': return 400
  }
}

function badRequest (context: Context, message: string): void {
  context.status = 400
  context.body = { type: 'invalid', message }
}

async function reportErrors (context: Context, next: Next): Promise<void> {
  try {
    await next()
  } catch (thrown) {
    const error = toGullwallError(thrown, { step: 'operator request' })
    context.status = STATUS_BY_CODE[error.code] ?? DEFAULT_ERROR_STATUS
    context.body = { type: 'failed', code: error.code, message: error.message, step: error.step, peer: error.peer, hint: error.hint }
  }
}

async function authenticate (context: Context, next: Next, token: string): Promise<void> {
  const given = /^Bearer\s+(\S+)$/i.exec(context.headers.authorization ?? '')?.[1] ?? ''
  if (timingSafeEqual(hash(given), hash(token))) {
    await next()
    return
  }
  context.status = 401
  context.body = { type: 'failed', code: 'ERR_GULLWALL_TOKEN', message: 'the operator token is missing or wrong', step: 'authenticate' }
}

function hash (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
