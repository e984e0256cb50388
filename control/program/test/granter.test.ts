import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { createLogger } from '@gullwall/core.logger'
import { Dialer, type Link } from '@gullwall/transport.link'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { computeColdBound } from '../src/granter.ts'
import { COLD_GRANT_VALID_MS, COLD_MAX_REQUESTS_PER_GRANT } from '../src/grant-ledger.ts'
import { running, start, stopAll, type Control } from './control-processes.ts'

const ANSWER_MS = 2000
const BOUND = 21
const DOCUMENT = JSON.stringify({
  version: 1,
  routes: [],
  services: [
    { name: 'lm', healthPath: '/healthz', maxConnections: 20, coldLimit: { perSecond: 11, startMs: 6000 } },
    { name: 'plain', healthPath: '/healthz', maxConnections: 20 }
  ],
  organisations: [],
  limits: {}
})

const logger = createLogger({ program: 'test', box: 'test', level: 'error', write: () => {} })
const dialers: Dialer[] = []

afterEach(async () => {
  for (const dialer of dialers.splice(0)) dialer.stop()
  await stopAll()
})

async function linkTo (address: string): Promise<Link> {
  const dialer = new Dialer(address, {
    local: { role: 'entry', name: `entry-${dialers.length}`, startId: 's', dataCentre: 'dc1' },
    sharedKey: 'a-shared-key-for-loopback',
    logger,
    revision: () => 0,
    onOpen: () => {},
    onMessage: () => {},
    onClose: () => {}
  })
  dialers.push(dialer)
  await until('a link', () => dialer.link?.isOpen === true)
  return dialer.link as Link
}

const wishFor = (incarnation: string, service = 'lm'): GrantRequest => ({ incarnation, service, requests: COLD_MAX_REQUESTS_PER_GRANT })

async function ask (link: Link, wishes: GrantRequest[]): Promise<Grant[]> {
  return (await link.request({ kind: 'coldAsk', entry: 'entry', wishes }, 'coldGranted', ANSWER_MS)).grants
}

async function threeProcesses (): Promise<{ leader: Control, followers: Control[] }> {
  const seeds = await freeAddresses(3)
  const common = { seeds, tolerance: 1, cold: { overrun: 1.5, slack: 5 } }
  for (const address of seeds) await start({ ...common, address })
  const controls = [...running.values()]
  const leads = (control: Control) => control.get('quorum').role === 'leader'
  await until('a quorum', () => controls.some(leads) && controls.every((control) => control.get('quorum').status().voters.length === 3))
  await until('the document', async () => {
    const put = controls.find(leads)?.get('documents').put(DOCUMENT)
    return await put?.then((result) => result.isRight(), () => false) ?? false
  })
  return { leader: controls.find(leads) as Control, followers: controls.filter((control) => !leads(control)) }
}

describe('the bound of a cold endpoint', () => {
  it('is what the service bears by what the deployment allows, in whole requests', () => {
    expect(computeColdBound({ perSecond: 11 }, { overrun: 1.5, slack: 5 })).toBe(BOUND)
    expect(computeColdBound({ perSecond: 11 })).toBe(11)
    expect(computeColdBound({ perSecond: 0.5 })).toBe(0)
  })
})

/** Asks until the leader answers: on a busy machine its lease may have run out for a moment, and then it grants nothing. */
async function askUntilAnswered (link: Link, wishes: GrantRequest[]): Promise<Grant[]> {
  let grants: Grant[] | undefined
  await until('an answer', async () => {
    grants = await ask(link, wishes).catch(() => undefined)
    return grants !== undefined
  })
  return grants ?? []
}

describe('grants of a quorum', () => {
  it('are asked for through any process, given by the leader, and stay within the bound over all who ask', async () => {
    const { leader, followers } = await threeProcesses()
    const links = await Promise.all([leader, ...followers].map(async (control) => await linkTo(control.get('server').address)))
    const [, follower] = links as [Link, Link]
    // A leader that is new does not hold the lease at first, and grants nothing until what the one before has granted is over.
    let grants = await askUntilAnswered(follower, [wishFor('a')])
    expect(grants).toMatchObject([{ incarnation: 'a', requests: 0 }])
    await until('a grant', async () => {
      grants = await askUntilAnswered(follower, [wishFor('a')])
      return (grants[0]?.requests ?? 0) > 0
    })
    expect(grants).toEqual([{ incarnation: 'a', requests: COLD_MAX_REQUESTS_PER_GRANT, withinMs: COLD_GRANT_VALID_MS }])
    const all = (await Promise.all(links.map(async (link) => await askUntilAnswered(link, [wishFor('a'), wishFor('a')])))).flat()
    const granted = all.reduce((sum, { requests }) => sum + requests, COLD_MAX_REQUESTS_PER_GRANT)
    expect(granted).toBe(Math.ceil(BOUND / 2))
    expect(all.filter(({ requests }) => requests === 0).every(({ withinMs }) => withinMs > 0)).toBe(true)
    // Nothing is granted of a service whose document has no such limit.
    expect(await askUntilAnswered(follower, [wishFor('b', 'plain')])).toMatchObject([{ requests: 0 }])
  }, 20_000)

  it('are not given by a process that is asked by a peer but does not lead', async () => {
    const { followers } = await threeProcesses()
    const granter = (followers[0] as Control).get('granter')
    const asked = granter.handleRequest({ kind: 'coldAsk', entry: 'entry', wishes: [wishFor('a')] }, { isForwarded: true })
    await expect(asked).rejects.toMatchObject({ code: 'ERR_GULLWALL_NOT_LEADER' })
  }, 20_000)

  it('are not given while no majority is up', async () => {
    const { leader, followers } = await threeProcesses()
    await Promise.all(followers.map(async (control) => await control.stop()))
    const link = await linkTo(leader.get('server').address)
    await expect(ask(link, [wishFor('a')])).rejects.toMatchObject({ code: 'ERR_GULLWALL_PEER_FAILED' })
  }, 20_000)
})
