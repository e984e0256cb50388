/** `gullwall`: the operators' command line. */
import { run, subcommands } from 'cmd-ts'
import { fail } from '@gullwall/core.kernel/program'
import { applyCommand, checkCommand, deleteCommand, drainCommand, getCommand, labelCommand, undrainCommand } from './commands/records.ts'
import { controlCommands } from './commands/control.ts'
import { devCommand } from './commands/dev.ts'
import { evacuateCommand } from './commands/evacuate.ts'
import { explainCommand } from './commands/explain.ts'
import { diffCommand, exportCommand, historyCommand, restoreCommand } from './commands/history.ts'
import { keyCommand } from './commands/key.ts'
import { lossesCommand } from './commands/losses.ts'
import { quarantineCommands } from './commands/quarantine.ts'
import { statusCommand } from './commands/status.ts'

const program = subcommands({
  name: 'gullwall',
  description: 'Operates a gullwall deployment.\nExample: gullwall apply records.toml --wait --control 10.0.0.1:7400',
  cmds: {
    apply: applyCommand,
    check: checkCommand,
    get: getCommand,
    delete: deleteCommand,
    label: labelCommand,
    drain: drainCommand,
    undrain: undrainCommand,
    evacuate: evacuateCommand,
    quarantine: quarantineCommands,
    status: statusCommand,
    explain: explainCommand,
    losses: lossesCommand,
    history: historyCommand,
    diff: diffCommand,
    export: exportCommand,
    restore: restoreCommand,
    control: controlCommands,
    key: keyCommand,
    dev: devCommand
  }
})

// A program that reads the output, such as `head`, may close the pipe early.
process.stdout.on('error', (error: NodeJS.ErrnoException) => process.exit(error.code === 'EPIPE' ? 0 : 1))

run(program, process.argv.slice(2)).catch(fail)
