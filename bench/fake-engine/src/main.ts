/** `gullwall-fake-engine`: stand-in engines for trials and measurements. */
import { command, option, run, string } from 'cmd-ts'
import { fail } from '@gullwall/core.kernel/program'
import { readSettings } from '@gullwall/config.settings'
import { FakeEngineHost, fakeEngineSettingsSchema } from '@gullwall/bench.fake-engine'

const program = command({
  name: 'gullwall-fake-engine',
  description: 'Runs stand-in engines.\nExample: gullwall-fake-engine --settings engines.toml',
  args: { settings: option({ type: string, long: 'settings', description: 'TOML file with the engines' }) },
  handler: async ({ settings }) => {
    const host = new FakeEngineHost(readSettings(settings, fakeEngineSettingsSchema))
    const admin = await host.start()
    process.stdout.write(`${JSON.stringify({ admin, engines: host.engines.size })}\n`)
    process.once('SIGTERM', () => { host.stop().then(() => process.exit(0), fail) })
  }
})

run(program, process.argv.slice(2)).catch(fail)
