/** The record of a case: what was sent, answered and run, with the time since the start in ms. */
import { appendFileSync, writeFileSync } from 'node:fs'

export class Record {
  constructor (file) {
    this.file = file
    this.startedAt = performance.now()
    writeFileSync(file, '')
  }

  /** Time since the start of the record, in ms. */
  get now () {
    return Math.round(performance.now() - this.startedAt)
  }

  note (text) {
    appendFileSync(this.file, `${String(this.now).padStart(7)} ${text}\n`)
  }
}
