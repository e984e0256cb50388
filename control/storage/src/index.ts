/** Durable files of a control process: whole files replaced at once, and a log of records with checksums. */
export * from './disk.ts'
export * from './folder-disk.ts'
export * from './memory-disk.ts'
export * from './log-file.ts'
export * from './checked-file.ts'
