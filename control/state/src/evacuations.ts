/**
 * Evacuations of data centres, one record each. Every order that is taken adds one to the epoch of its data centre, also one
 * that orders what holds already: an order from before it that arrives late is then known by the older epoch that it saw.
 */
import { type RecordChange, type RecordMap } from '@gullwall/config.records'
import { type EvacuateCommand, type EvacuationResult } from './commands.ts'

const KEY_PREFIX = 'evacuation/'

/** What the record of a data centre holds. A withdrawn evacuation keeps its record, or a late order would find nothing that is newer. */
export interface StoredEvacuation {
  isEvacuated: boolean
  /** How many orders have been taken. */
  epoch: number
  /** How often an evacuation was withdrawn: tells a reader that missed both orders that there was one. */
  withdrawals: number
}

const NEVER_EVACUATED: StoredEvacuation = { isEvacuated: false, epoch: 0, withdrawals: 0 }

/** What holds for a data centre. */
export function evacuationOf (records: RecordMap, dataCentre: string): StoredEvacuation {
  const text = records.text(KEY_PREFIX + dataCentre)
  return text === undefined ? NEVER_EVACUATED : JSON.parse(text) as StoredEvacuation
}

/** What holds for each data centre that was ever evacuated. */
export function evacuationsIn (records: RecordMap): Map<string, StoredEvacuation> {
  const found = new Map<string, StoredEvacuation>()
  for (const [key, text] of records.entries()) {
    if (key.startsWith(KEY_PREFIX)) found.set(key.slice(KEY_PREFIX.length), JSON.parse(text) as StoredEvacuation)
  }
  return found
}

/** The data centres that are evacuated, in the order of their names. */
export function evacuatedIn (records: RecordMap): string[] {
  return [...evacuationsIn(records)].filter(([, { isEvacuated }]) => isEvacuated).map(([dataCentre]) => dataCentre).sort()
}

/** Decides on an order; the change is missing where it was overtaken. */
export function decideEvacuation (records: RecordMap, command: EvacuateCommand): { result: EvacuationResult, change?: RecordChange } {
  const { dataCentre, isEvacuated, seen } = command
  const held = evacuationOf(records, dataCentre)
  if (seen < held.epoch && isEvacuated !== held.isEvacuated) return { result: { isTaken: false, ...held } }
  const isWithdrawn = held.isEvacuated && !isEvacuated
  const next: StoredEvacuation = { isEvacuated, epoch: held.epoch + 1, withdrawals: held.withdrawals + (isWithdrawn ? 1 : 0) }
  return { result: { isTaken: true, ...next }, change: { key: KEY_PREFIX + dataCentre, value: JSON.stringify(next) } }
}
