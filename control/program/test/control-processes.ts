/** Control processes that tests start, by their addresses. */
import { type ControlSettings } from '@gullwall/config.settings'
import { createControl, type ControlServices, type OperatorApi, type ScalingSink, type UsageSink } from '@gullwall/control.program'
import { MemoryDisk } from '@gullwall/control.storage'
import { type DocumentFormat } from '@gullwall/config.document'
import { type Kernel } from '@gullwall/core.kernel'

export type Control = Kernel<ControlServices>

export const running = new Map<string, Control>()

export interface StartOptions {
  address: string
  seeds: string[]
  founds?: boolean
  disk?: MemoryDisk
  dataCentre?: string
  usage?: ControlSettings['usage']
  usageSink?: UsageSink
  scaling?: ControlSettings['scaling']
  scalingSink?: ScalingSink
  regions?: ControlSettings['regions']
  api?: OperatorApi
  format?: DocumentFormat
  write?: (line: string) => void
  cold?: ControlSettings['cold']
  tolerance?: number
  electionMs?: number
}

export async function start (options: StartOptions): Promise<Control> {
  const { address, seeds, founds = true, disk = new MemoryDisk(), dataCentre = 'dc1', usage, usageSink, regions, cold } = options
  const { scaling, scalingSink, api, format, write = () => {}, tolerance = 2, electionMs = 200 } = options
  const control = await createControl({
    box: `box-${address.split(':')[1] ?? ''}`,
    dataCentre,
    listen: address,
    admin: '127.0.0.1:0',
    linkKey: 'a-shared-key-for-loopback',
    logLevel: 'info',
    member: `m-${address.split(':')[1] ?? ''}`,
    members: {},
    seeds,
    founds,
    tolerance,
    dataFolder: 'unused',
    operatorToken: 'an-operator-token-for-loopback',
    quorumHeartbeatMs: 40,
    quorumElectionMs: electionMs,
    firstElectionShare: 0.4,
    usage,
    scaling,
    regions,
    cold
  }, { disk, usageSink, scalingSink, api, format, write })
  await control.start()
  running.set(address, control)
  return control
}

export async function stopAll (): Promise<void> {
  await Promise.all([...running.values()].map(async (control) => await control.stop()))
  running.clear()
}
