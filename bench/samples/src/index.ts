/** Sample deployments at the users' sizes of today. */
import { newOrganisationKey, type NewKey } from '@gullwall/config.records'
import { type BoxPlan, type DeploymentOptions } from '@gullwall/bench.deployment'

export type SampleName = 'parts-catalogue' | 'order-desk'

/** An organisation of the samples, with the class it calls under first. */
interface SampleOrganisation {
  name: string
  classes: string[]
  weight: number
}

export const SAMPLE_ORGANISATIONS: SampleOrganisation[] = [
  { name: 'workshops', classes: ['interactive'], weight: 1 },
  { name: 'dealers', classes: ['interactive', 'standard'], weight: 2 },
  { name: 'counter', classes: ['standard'], weight: 1 },
  { name: 'canteens', classes: ['standard'], weight: 1 },
  { name: 'resellers', classes: ['batch'], weight: 1 }
]

export type SampleKeys = Record<string, NewKey>

export function sampleKeys (): SampleKeys {
  return Object.fromEntries(SAMPLE_ORGANISATIONS.map(({ name }) => [name, newOrganisationKey(name)]))
}

interface SampleShape {
  dataCentres: string[]
  runners: number
  enginesPerRunner: number
  model: string
  service: string
  serviceRunners: number
}

const SHAPES: Record<SampleName, SampleShape> = {
  'parts-catalogue': {
    dataCentres: ['ulemiste', 'lasnamae', 'mustamae'], runners: 6, enginesPerRunner: 6, model: 'parts', service: 'stock', serviceRunners: 3
  },
  'order-desk': {
    dataCentres: ['east', 'west', 'south', 'centre'], runners: 6, enginesPerRunner: 8, model: 'orders', service: 'order-desk', serviceRunners: 4
  }
}

/** The model that a sample's engines carry. */
export function sampleModel (name: SampleName): string {
  return SHAPES[name].model
}

export function sampleDeployment (name: SampleName, keys: SampleKeys): DeploymentOptions {
  const shape = SHAPES[name]
  const dataCentreOf = (index: number) => shape.dataCentres[index % shape.dataCentres.length] ?? ''
  const runners = Array.from({ length: shape.runners }, (_, index): BoxPlan => ({
    box: `runner-${index + 1}`, dataCentre: dataCentreOf(index), engines: enginesOf(shape, index)
  }))
  const services = Array.from({ length: shape.serviceRunners }, (_, index): BoxPlan => ({
    box: `service-${index + 1}`, dataCentre: dataCentreOf(index), engines: [], services: [shape.service]
  }))
  const entries = shape.dataCentres.map((dataCentre, index) => ({ box: `entry-${index + 1}`, dataCentre }))
  return { boxes: [...runners, ...services], entries, controls: 3, records: sampleRecords(shape, keys) }
}

function enginesOf (shape: SampleShape, runner: number): BoxPlan['engines'] {
  return Array.from({ length: shape.enginesPerRunner }, (_, index) => ({
    name: `engine-${runner + 1}-${index + 1}`, model: shape.model, labels: { runner: `runner-${runner + 1}` }
  }))
}

function sampleRecords (shape: SampleShape, keys: SampleKeys): string {
  const organisations = SAMPLE_ORGANISATIONS.map(({ name, classes, weight }) => `
[organisation.${name}]
keys = ["${keys[name]?.hash ?? ''}"]
classes = ${JSON.stringify(classes)}
weight = ${weight}
`)
  return `
[class.interactive]
tier = 0
firstTokenMs = 700
betweenTokensMs = 72
maxWaitMs = 3000

[class.standard]
tier = 1
floor = 0.05
firstTokenMs = 2000
betweenTokensMs = 100
maxWaitMs = 6000

[class.batch]
tier = 2
floor = 0.05
firstTokenMs = 10000
betweenTokensMs = 150
maxWaitMs = 30000
late = "serve"

[model.${shape.model}]
labels = { use = "sample" }
${organisations.join('')}`
}
