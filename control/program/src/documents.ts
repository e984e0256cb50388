/** Routing documents: taken through the log, read back only when certain to be the newest. */
import { type Either, Left, Right } from 'purify-ts'
import { type Mistake } from '@gullwall/config.checker'
import { checkRegions, type RoutingDocument } from '@gullwall/config.document'
import { Regions } from '@gullwall/config.settings'
import { type DocumentResult, type StoredDocument } from '@gullwall/control.state'
import { waitUntilApplied } from './wait-until-applied.ts'
import { type ControlServices } from './index.ts'

export class Documents {
  private readonly regions: Regions

  constructor (private readonly services: ControlServices) {
    this.regions = new Regions(services.settings.regions)
  }

  /**
   * Has a document accepted; a lower or equal version than the one held changes nothing.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN
   */
  async put (text: string): Promise<Either<Mistake[], DocumentResult>> {
    const { format, logger } = this.services
    const parsed = format.parse(text).chain((document) => this.inKnownRegions(document))
    if (parsed.isLeft()) {
      const mistakes = parsed.swap().orDefault([])
      logger.warn({ channel: 'configuration', event: 'refused', revision: this.services.store.revision, why: firstOf(mistakes) })
      return Left(mistakes)
    }
    const { version } = parsed.unsafeCoerce()
    const held = this.services.state.document
    // What is applied here was accepted by a quorum before.
    if (held !== undefined && held.version >= version) return Right({ taken: false, version: held.version })
    return Right(await this.services.proposer.proposeDocument({ type: 'document', version, text }))
  }

  /**
   * Gives the newest document, or undefined where there is none.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER if that can't be told for sure
   */
  async read (): Promise<StoredDocument | undefined> {
    const { proposer, state, store } = this.services
    const { revision } = await proposer.confirmRevision()
    await waitUntilApplied(store, revision, 'read document')
    return state.document
  }

  /**
   * Checked here alone: an accepted document is in force at every entry, also at one whose settings name the region only
   * after a reload.
   */
  private inKnownRegions (document: RoutingDocument): Either<Mistake[], RoutingDocument> {
    const mistakes = checkRegions(document, this.regions.names)
    return mistakes.length === 0 ? Right(document) : Left(mistakes)
  }
}

function firstOf (mistakes: readonly Mistake[]): string {
  const [first] = mistakes
  return first === undefined ? 'invalid' : `${first.keyPath}: found ${first.found}; allowed: ${first.allowed} (${mistakes.length} mistakes)`
}
