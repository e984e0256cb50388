/** Measures what responses without end cost a gateway and the sound requests beside them. */
export { measurePlace, type Measurement, type MeasureOptions } from './measure.ts'
export { PLACES, type Place } from './places.ts'
export { formatTable } from './table.ts'
