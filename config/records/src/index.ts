/** Operators' records: their schemas, their file form, and the map a process holds them in. */
export * from './schemas.ts'
export * from './file.ts'
export * from './record-map.ts'
export * from './keys.ts'
