/** In which region each data centre lies, and how far apart two data centres are. */

/** How far apart two data centres are; each step costs more time, and its links carry less. */
export type Distance = 'same data centre' | 'same region' | 'other region'

/** The region of data centres that the settings do not name; no list of allowed regions can name it. */
const UNNAMED_REGION = ''

export class Regions {
  private readonly byDataCentre: ReadonlyMap<string, string>
  /** The regions that the settings name. */
  readonly names: ReadonlySet<string>

  constructor (table: Readonly<Record<string, string>> = {}) {
    this.byDataCentre = new Map(Object.entries(table))
    this.names = new Set(this.byDataCentre.values())
  }

  regionOf (dataCentre: string): string {
    return this.byDataCentre.get(dataCentre) ?? UNNAMED_REGION
  }

  distance (from: string, to: string): Distance {
    if (from === to) return 'same data centre'
    return this.regionOf(from) === this.regionOf(to) ? 'same region' : 'other region'
  }
}
