/** What an entry spends on links to sidecars that have nothing to do, and on waiting work. */
import { request } from 'undici'
import { Deployment, type BoxPlan } from '@gullwall/bench.deployment'
import { Child, figures, type ProgramFigures } from '@gullwall/bench.processes'
import { writeFileSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { fit, type Fit } from './fit.ts'

export interface LinkSlopes {
  /** Share of a core for each link. */
  cpu: Fit
  /** Bytes a second, both ways, for each link. */
  bytesPerSecond: Fit
  /** Resident bytes for each link, with its four endpoints. */
  memory: Fit
}

const LINK_COUNTS = [10, 40, 80]
const ENDPOINTS_PER_BOX = 4
const MEASURE_MS = 6000
const SETTLE_MS = 2000
const MS_PER_SECOND = 1000

/** Idle links of one entry process to sidecars of four engines each. */
export async function measureLinkSlopes (): Promise<LinkSlopes> {
  const measured: Array<{ x: number, cpu: number, memory: number, bytes: number }> = []
  for (const count of LINK_COUNTS) measured.push({ x: count, ...await measureLinks(count) })
  const fitOf = (read: (measured: ProgramFigures) => number) => fit(measured.map((point) => ({ x: point.x, y: read(point) })))
  return { cpu: fitOf(({ cpu }) => cpu), bytesPerSecond: fitOf(({ bytes }) => bytes), memory: fitOf(({ memory }) => memory) }
}

async function measureLinks (count: number): Promise<ProgramFigures> {
  const boxes = Array.from({ length: count }, (_, index): BoxPlan => ({
    box: `b${index}`,
    dataCentre: 'east',
    engines: Array.from({ length: ENDPOINTS_PER_BOX }, (__, engine) => ({ name: `g${index}-${engine}`, model: 'parts' }))
  }))
  const deployment = new Deployment({ boxes, entries: [], records: '[selector.any]\nmatch = ""\n', controls: 1 })
  await deployment.start()
  const folder = mkdtempSync(join(tmpdir(), 'gullwall-capacity-'))
  const entry = await startEntry(deployment, folder)
  try {
    await until('links', async () => await linkCount(entry.admin) === count)
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const before = await figures(entry.admin)
    await new Promise((resolve) => setTimeout(resolve, MEASURE_MS))
    const after = await figures(entry.admin)
    const seconds = MEASURE_MS / MS_PER_SECOND
    return { cpu: (after.cpu - before.cpu) / seconds, memory: after.memory, bytes: (after.bytes - before.bytes) / seconds }
  } finally {
    await entry.child.kill()
    await deployment.stop()
    rmSync(folder, { recursive: true })
  }
}

async function startEntry (deployment: Deployment, folder: string): Promise<{ child: Child, admin: string }> {
  const [listen = '', admin = ''] = await freeAddresses(2)
  const settings = join(folder, 'entry.toml')
  writeFileSync(settings, stringify({
    box: 'entry', dataCentre: 'east', listen, admin, linkKey: 'a-shared-key-for-loopback', control: deployment.controlAddresses, logLevel: 'warn'
  }))
  return { child: new Child('gullwall-entry', { settings, log: `${settings}.log` }), admin }
}

async function linkCount (admin: string): Promise<number> {
  try {
    return (await (await request(`http://${admin}/status`)).body.json() as { links: number }).links
  } catch {
    return 0
  }
}
