/** Keeps track of the builds that began streams: tells control at the first event, and asks it when a caller takes a stream up. */
import { ThrottledAction } from '@gullwall/core.clock'
import { messageOf } from '@gullwall/core.error'
import {
  AMBIGUOUS, bindTo, BindingOutbox, BindingTable, chooseHolders, describeBinding, isSameBuild, streamKeyOf, type BindingRecord,
  type BuildBinding
} from '@gullwall/routing.stream-builds'
import { type EndpointDescription } from '@gullwall/routing.balancer'
import { type Link } from '@gullwall/transport.link'
import { MAX_BINDINGS, type MessageOf } from '@gullwall/transport.messages'
import { remainingMs, type Call } from './call.ts'
import { type EndpointRule } from './eligibility.ts'
import { type GatewayServices } from './index.ts'

/** Shortest interval between two messages to a holder, in ms; streams that begin meanwhile are told together. */
const TELL_INTERVAL_MS = 100
/** Timeout of a question to control, in ms: several round trips between regions. */
const ASK_TIMEOUT_MS = 250
/**
 * Delay after which control is asked again, in ms. A caller that comes back at once may be faster than the word of the gateway that began
 * the stream, which is sent after an interval at most.
 */
const ASK_AGAIN_MS = TELL_INTERVAL_MS + 30
/** Upper limit of the time for which a binding is held, in ms. */
const MAX_VALID_MS = 600_000
/** Time that a caller may be late without its binding having expired, in ms. */
const VALID_MARGIN_MS = 1000

/** What is known of the build that began a stream. */
export type StreamBuildAnswer =
  | { type: 'known', binding: BuildBinding, source: string }
  | { type: 'unknown', reason: string }

export class StreamBuilds {
  /** Number of streams that callers took up, by whether the build that began them was known. */
  readonly totals = { known: 0, unknown: 0 }
  private readonly table = new BindingTable()
  private readonly outbox = new BindingOutbox<Link>(this.table)
  private readonly telling = new ThrottledAction(() => TELL_INTERVAL_MS, () => this.tellHolders())

  constructor (private readonly services: Pick<GatewayServices, 'settings' | 'controlLinks' | 'logger'>) {}

  stop (): void {
    this.telling.stop()
  }

  /** Number of bindings that this process holds. */
  get size (): number {
    return this.table.size
  }

  /** Excludes endpoints of another build than the one that began the stream. */
  readonly rule: EndpointRule = ({ description }, { binding }) => {
    if (binding === undefined || isSameBuild(binding, description)) return undefined
    return `${description.incarnation} runs build ${description.build ?? '(unknown)'}, and the stream began at ${describeBinding(binding)}`
  }

  /** Binds a stream to the endpoint that brings its first event. */
  bind (call: Call, description: EndpointDescription): void {
    call.binding = bindTo(description)
    // Nobody can take up a stream of another route.
    if (!call.route.isResumable) return
    const record = { key: keyOf(call, call.requestId), binding: call.binding, validMs: validMsOf(call) }
    this.table.record(record)
    this.outbox.add(record)
    this.telling.request()
  }

  /** Tells a control process that is linked anew what it has to hold. */
  linkOpened (): void {
    this.telling.request()
  }

  /** Finds the build that began a stream which a caller takes up. */
  async find (call: Call): Promise<StreamBuildAnswer> {
    const answer = await this.findAnywhere(call)
    this.totals[answer.type] += 1
    return answer
  }

  private async findAnywhere (call: Call): Promise<StreamBuildAnswer> {
    if (call.resumes === undefined || call.resumes === '') return await this.findOnly(call)
    const key = keyOf(call, call.resumes)
    const held = this.table.find(key)
    if (held === AMBIGUOUS) return ambiguousAnswer('this gateway')
    if (held !== undefined) return { type: 'known', binding: held, source: 'this gateway' }
    const { local, others } = this.services.controlLinks.linksByRegion()
    const ask = async () => await this.ask(local, key) ?? await this.ask(others, key)
    const answer = await ask() ?? await this.askLater(call, ask)
    if (answer === undefined) {
      return { type: 'unknown', reason: `none of ${local.length + others.length} control processes knows the build that began the stream` }
    }
    if (answer.type === 'known') this.table.record({ key, binding: answer.binding, validMs: validMsOf(call) })
    return answer
  }

  /** Asks once more after a while, unless the caller's time is over by then. */
  private async askLater (call: Call, ask: () => Promise<StreamBuildAnswer | undefined>): Promise<StreamBuildAnswer | undefined> {
    if (remainingMs(call) <= ASK_AGAIN_MS) return undefined
    await new Promise((resolve) => setTimeout(resolve, ASK_AGAIN_MS))
    return await ask()
  }

  /**
   * Finds the build of a stream whose caller does not name it: most control processes must say that its service has had that build only,
   * for as long as the caller can have been waiting. It has waited for one attempt at least, and for as long again as it still waits at
   * most, unless control has been told of callers that wait longer.
   */
  private async findOnly ({ route, waitMs }: Call): Promise<StreamBuildAnswer> {
    const unnamed = 'the request does not name the request that brought the first event of the stream'
    const services = route.split.filter(({ weight }) => weight > 0).map(({ service }) => service)
    const [service] = services
    if (service === undefined || services.length > 1) return { type: 'unknown', reason: `${unnamed}, and its route has several services` }
    const { controlLinks } = this.services
    const forMs = Math.ceil(route.timeoutMs + (waitMs ?? 0)) + VALID_MARGIN_MS
    const { local, others } = controlLinks.linksByRegion()
    const answers = await Promise.allSettled([...local, ...others].map(async (link) => (
      await link.request({ kind: 'onlyBuildOf', service, forMs }, 'streamBuild', ASK_TIMEOUT_MS)
    )))
    const bindings = answers.flatMap((answer) => answer.status === 'fulfilled' ? [answer.value.binding] : [])
    const [binding] = bindings
    const isOnly = binding !== undefined && bindings.every((other) => other?.build === binding.build)
    // A gateway that has just started dials a few of them only, which may all be cut off from the others.
    if (isOnly && bindings.length > controlLinks.knownCount / 2) {
      return { type: 'known', binding, source: `${bindings.length} control processes` }
    }
    return { type: 'unknown', reason: `${unnamed}, and ${service} may have had several builds` }
  }

  /** Asks control processes at the same time; the first one that knows the stream decides. */
  private async ask (links: readonly Link[], key: string): Promise<StreamBuildAnswer | undefined> {
    const answers = links.map(async (link) => {
      const { found, binding } = await link.request({ kind: 'streamBuildOf', key }, 'streamBuild', ASK_TIMEOUT_MS)
      if (found === 'known' && binding !== undefined) return { type: 'known' as const, binding, source: link.peer.name }
      if (found === 'ambiguous') return ambiguousAnswer(link.peer.name)
      throw new Error(`${link.peer.name} does not know the stream`)
    })
    try {
      return await Promise.any(answers)
    } catch (error) {
      const reasons = error instanceof AggregateError ? error.errors.map(messageOf).join('; ') : messageOf(error)
      this.services.logger.debug({ channel: 'link', event: 'refused', peer: 'control', why: `question for a stream: ${reasons}` })
      return undefined
    }
  }

  private tellHolders (): void {
    const { settings, controlLinks } = this.services
    const { local, others } = controlLinks.linksByRegion()
    const candidates = [...local, ...others].map((link) => ({
      link, name: link.address, dataCentre: link.peer.dataCentre, isLocalRegion: local.includes(link)
    }))
    const holders = chooseHolders(settings.box, candidates).map(({ link }) => link)
    if (!this.outbox.isDue(holders)) return
    for (const [link, records] of this.outbox.take(holders)) {
      for (let from = 0; from < records.length; from += MAX_BINDINGS) link.send(messageFor(records.slice(from, from + MAX_BINDINGS)))
    }
  }
}

/** Packs records into one message, in which each binding stands once. */
function messageFor (records: readonly BindingRecord[]): MessageOf<'streamBuilds'> {
  const indices = new Map<string, number>()
  const bindings: BuildBinding[] = []
  return {
    kind: 'streamBuilds',
    records: records.map(({ key, binding, validMs }) => {
      // The incarnation matters only where it stands for the build.
      const shared = binding.build === undefined ? binding : { ...binding, incarnation: '' }
      const name = JSON.stringify([shared.service, shared.build, shared.incarnation])
      const index = indices.get(name) ?? bindings.push(shared) - 1
      indices.set(name, index)
      return [key, index, Math.ceil(validMs)]
    }),
    bindings
  }
}

function keyOf ({ organisation, route }: Call, requestId: string): string {
  return streamKeyOf({ organisation: organisation?.name, route: route.name, requestId })
}

/** Returns for how much longer the caller of a request may come back, in ms. */
function validMsOf ({ waitMs, route, arrivedAt }: Call): number {
  const wait = Math.min(waitMs ?? route.timeoutMs, MAX_VALID_MS)
  return Math.max(0, wait - (performance.now() - arrivedAt)) + VALID_MARGIN_MS
}

function ambiguousAnswer (source: string): StreamBuildAnswer {
  return { type: 'unknown', reason: `${source} knows two streams under the id that the request names` }
}
