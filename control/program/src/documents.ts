/** Stores routing documents through the replicated log, and reads the newest one after the quorum has confirmed it. */
import { type Either, Left, Right } from 'purify-ts'
import { type Mistake } from '@gullwall/config.checker'
import { checkRegions, decodeJson, type RoutingDocument } from '@gullwall/config.document'
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
   * Proposes a document. A version that is not higher than the stored version changes nothing.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN
   */
  async put (body: Buffer | string): Promise<Either<Mistake[], DocumentResult>> {
    const { format, logger } = this.services
    const parsed = decodeJson(body).chain((text) => format.parse(text)
      .chain((document) => this.checkKnownRegions(document))
      .map(({ version }) => ({ version, text })))
    if (parsed.isLeft()) {
      const mistakes = parsed.swap().orDefault([])
      logger.warn({ channel: 'configuration', event: 'refused', revision: this.services.store.revision, why: describeMistakes(mistakes) })
      return Left(mistakes)
    }
    const { version, text } = parsed.unsafeCoerce()
    const current = this.services.state.document
    // A document that is applied in this process was accepted by the quorum before.
    if (current !== undefined && current.version >= version) return Right({ taken: false, version: current.version })
    return Right(await this.services.proposer.proposeDocument({ type: 'document', version, text }))
  }

  /**
   * Returns the newest document, or undefined if there is none.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER if the newest version can't be determined
   */
  async read (): Promise<StoredDocument | undefined> {
    const { proposer, state, store } = this.services
    const { revision } = await proposer.confirmRevision()
    await waitUntilApplied(store, revision, 'read document')
    return state.document
  }

  /**
   * Checks that the settings name all regions of a document. Entries do not repeat the check: an accepted document must be active at
   * every entry, including those whose settings name a region only after a reload.
   */
  private checkKnownRegions (document: RoutingDocument): Either<Mistake[], RoutingDocument> {
    const mistakes = checkRegions(document, this.regions.names)
    return mistakes.length === 0 ? Right(document) : Left(mistakes)
  }
}

function describeMistakes (mistakes: readonly Mistake[]): string {
  const [first] = mistakes
  return first === undefined ? 'invalid' : `${first.keyPath}: found ${first.found}; allowed: ${first.allowed} (${mistakes.length} mistakes)`
}
