/** The routing document: its model, its checks, its format and lookups in it. */
export * from './model.ts'
export * from './check.ts'
export * from './format.ts'
export * from './route-table.ts'
export * from './json-text.ts'
