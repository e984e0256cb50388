/** `gullwall-gateway`: accepts callers' requests and sends them to endpoints directly. */
import { command, option, run, string } from 'cmd-ts'
import { assertRuntime, fail, runProgram } from '@gullwall/core.kernel/program'
import { gatewaySettingsSchema, readSettings } from '@gullwall/config.settings'
import { createGateway } from '@gullwall/entry.gateway'

const program = command({
  name: 'gullwall-gateway',
  description: 'Accepts callers\' requests and sends them to endpoints directly.\nExample: gullwall-gateway --settings gateway.toml',
  args: { settings: option({ type: string, long: 'settings', description: 'TOML file with the settings of this process' }) },
  handler: async ({ settings }) => {
    assertRuntime()
    await runProgram(createGateway(readSettings(settings, gatewaySettingsSchema)))
  }
})

run(program, process.argv.slice(2)).catch(fail)
