import { afterEach, describe, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { type Kernel } from '@gullwall/core.kernel'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { RejectingDeployment } from './rejecting-endpoints.ts'

const SLACK = 30
const SETTINGS = { retryWindowMs: 4000, retrySlack: SLACK }
const BOXES = ['g1', 'g2', 'g3']
let deployment: RejectingDeployment | undefined

afterEach(async () => await deployment?.stop(), 30_000)

async function start (retryRatio = 0.2): Promise<RejectingDeployment> {
  deployment = new RejectingDeployment({ ...SETTINGS, retryRatio })
  await deployment.start()
  return deployment
}

/** Waits until the gateways use their shares of the slack. */
async function awaitShares (gateways: ReadonlyArray<Kernel<GatewayServices>>): Promise<void> {
  await until('shares of the slack', () => gateways.every((gateway) => gateway.get('controlLinks').sharingEntryCount !== undefined))
}

describe('the retries of all gateways', () => {
  it('stay within the budget while gateways are killed again and again', async () => {
    const all = await start(0)
    all.isRejecting = true
    for (let life = 0; life < 4; life += 1) {
      const gateways = await all.startGateways(BOXES)
      // Only the first processes run long enough to have a share of the slack.
      if (life === 0) await awaitShares(gateways)
      await all.send(gateways, '/look-up/1', 90, 300)
    }
    console.log(`${all.retriesAt('app').length} retries in four lives of ${BOXES.length} gateways`)
    expect(all.retriesAt('app').length).toBeGreaterThan(0)
    expect(all.mostBeyondRatio('app')).toBeLessThanOrEqual(SLACK)
  }, 40_000)

  it('at one service are not paid for by the requests for another', async () => {
    const all = await start()
    const gateways = await all.startGateways(BOXES)
    await awaitShares(gateways)
    await all.send(gateways, '/look-up/1', 900, 2000)
    all.isRejecting = true
    await all.send(gateways, '/stock/1', 90, 500)
    console.log(`${all.retriesAt('stock').length} retries at the service that rejects`)
    expect(all.mostBeyondRatio('stock')).toBeLessThanOrEqual(SLACK)
  }, 40_000)
})
