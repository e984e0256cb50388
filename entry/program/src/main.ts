/** `gullwall-entry`: takes callers' requests and brings back their answers. */
import { command, option, run, string } from 'cmd-ts'
import { assertRuntime, fail, runProgram } from '@gullwall/core.kernel/program'
import { entrySettingsSchema, readSettings } from '@gullwall/config.settings'
import { createEntry } from '@gullwall/entry.program'

const program = command({
  name: 'gullwall-entry',
  description: 'Takes callers\' requests and brings back their answers.\nExample: gullwall-entry --settings entry.toml',
  args: { settings: option({ type: string, long: 'settings', description: 'TOML file with the settings of this process' }) },
  handler: async ({ settings }) => {
    assertRuntime()
    await runProgram(createEntry(readSettings(settings, entrySettingsSchema)))
  }
})

run(program, process.argv.slice(2)).catch(fail)
