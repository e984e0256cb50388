/** `gullwall-sidecar`: forwards all requests to the endpoints of its box. */
import { command, option, run, string } from 'cmd-ts'
import { assertRuntime, fail, runProgram } from '@gullwall/core.kernel/program'
import { readSettings, sidecarSettingsSchema } from '@gullwall/config.settings'
import { createSidecar } from '@gullwall/sidecar.program'

const program = command({
  name: 'gullwall-sidecar',
  description: 'Fronts the endpoints of one box.\nExample: gullwall-sidecar --settings sidecar.toml',
  args: { settings: option({ type: string, long: 'settings', description: 'TOML file with the settings of this process' }) },
  handler: async ({ settings }) => {
    assertRuntime()
    await runProgram(createSidecar(readSettings(settings, sidecarSettingsSchema)))
  }
})

run(program, process.argv.slice(2)).catch(fail)
