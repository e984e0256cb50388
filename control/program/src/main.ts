/** The `gullwall-control` program. It stores the replicated state. */
import { command, option, run, string } from 'cmd-ts'
import { assertRuntime, fail, runProgram } from '@gullwall/core.kernel/program'
import { controlSettingsSchema, readSettings } from '@gullwall/config.settings'
import { createControl } from '@gullwall/control.program'

const program = command({
  name: 'gullwall-control',
  description: 'Stores the replicated state.\nExample: gullwall-control --settings control.toml',
  args: { settings: option({ type: string, long: 'settings', description: 'TOML file with the settings of this process' }) },
  handler: async ({ settings }) => {
    assertRuntime()
    await runProgram(await createControl(readSettings(settings, controlSettingsSchema)))
  }
})

run(program, process.argv.slice(2)).catch(fail)
