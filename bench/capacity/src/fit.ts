/** A straight line through measured points. */

export interface Point {
  x: number
  y: number
}

export interface Fit {
  points: Point[]
  slope: number
  intercept: number
  /** Root of the mean squared distance of the points from the line, in the unit of y. */
  error: number
}

/** Least squares. */
export function fit (points: Point[]): Fit {
  const mean = (read: (point: Point) => number) => points.reduce((sum, point) => sum + read(point), 0) / points.length
  const meanX = mean(({ x }) => x)
  const meanY = mean(({ y }) => y)
  const slope = mean(({ x, y }) => (x - meanX) * (y - meanY)) / mean(({ x }) => (x - meanX) ** 2)
  const intercept = meanY - slope * meanX
  return { points, slope, intercept, error: Math.sqrt(mean(({ x, y }) => (y - intercept - slope * x) ** 2)) }
}
