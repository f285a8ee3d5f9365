/**
 * Reads the changes of endpoints that the source has kept.
 *
 * The source doesn't say how far back its history goes, and refuses reads from before its beginning.
 * So the beginning is searched for: backwards from the newest position in growing steps, then by
 * bisection.
 */
import { isEarlier, ServingError, type SourcePosition } from '../../core';
import type { Kernel } from '../../kernel';
import {
  DeploymentSource,
  EndpointHistory,
  ServingMetrics,
  type ListedLately,
  type PublishedChange,
  type PublishedChanges,
} from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';

/** @internal */
export function summarizeHistory(changes: ReadonlyArray<PublishedChange>): ListedLately {
  const backEnds = changes.flatMap((change) => (change.kind === 'endpoint' ? change.backEnd : []));
  // An entry that can't be read names no endpoint, so its removal is none of an endpoint either.
  const unreadableIds = changes.flatMap((change) =>
    change.kind === 'unreadable' ? (change.endpointId ?? []) : [],
  );
  const knownIds = new Set([...backEnds.map(({ endpointId }) => endpointId), ...unreadableIds]);
  const unknownRemovals = changes.flatMap((change) =>
    change.kind === 'endpoint-removed' && !knownIds.has(change.endpointId) ? change.endpointId : [],
  );
  return { backEnds, unknownRemovals: [...new Set(unknownRemovals)] };
}

/** @internal */
export class SourceHistory extends EndpointHistory {
  constructor(
    private readonly kernel: Kernel,
    private readonly store: DeploymentStore,
  ) {
    super();
  }

  getLostAgeMs(): number {
    return this.store.getHistoryLostAgeMs();
  }

  async readMissed(signal: AbortSignal): Promise<ListedLately> {
    const { store } = this;
    const known = store.completeTo;
    if (store.isEraOver || !store.isEraSettled) {
      throw new ServingError('endpoint-failed', { detail: 'The source has lost entries lately.' });
    }
    const newest = await this.kernel.get(DeploymentSource).readPosition(signal);
    this.kernel.get(ServingMetrics).countSourceCall('no-change');
    store.hearOfEra(newest.era);
    if (newest.era !== known.era || isEarlier(newest, known)) {
      throw new ServingError('endpoint-failed', {
        detail: 'The source is at an unknown position.',
      });
    }
    return summarizeHistory(await this.readTo(newest, { changes: [], position: known }, signal));
  }

  async read(signal: AbortSignal): Promise<ListedLately> {
    const newest = this.store.completeTo;
    const oldest = await this.findBeginning(newest, signal);
    return summarizeHistory(await this.readTo(newest, oldest, signal));
  }

  /** Reads on from a page up to a position. */
  private async readTo(
    newest: SourcePosition,
    first: PublishedChanges,
    signal: AbortSignal,
  ): Promise<ReadonlyArray<PublishedChange>> {
    const changes = [...first.changes];
    let { position } = first;
    while (isEarlier(position, newest)) {
      const page = await this.readPage(position, signal);
      if (!page || !isEarlier(position, page.position)) {
        throw new ServingError('endpoint-failed', { detail: 'The history ends too early.' });
      }
      changes.push(...page.changes);
      position = page.position;
    }
    return changes;
  }

  /** Returns the first page of what the source has kept. */
  private async findBeginning(
    newest: SourcePosition,
    signal: AbortSignal,
  ): Promise<PublishedChanges> {
    let found: PublishedChanges = { changes: [], position: newest };
    let readableFrom = newest.revision;
    let goneUpTo = -1;
    let step: number = DEPLOYMENT_OPTIONS.firstHistoryStep;
    while (readableFrom - goneUpTo > 1) {
      const isBisecting = goneUpTo >= 0;
      const revision = isBisecting
        ? Math.floor((readableFrom + goneUpTo) / 2)
        : Math.max(0, newest.revision - step);
      const page = await this.readPage({ ...newest, revision }, signal);
      if (page) {
        found = page;
        readableFrom = revision;
      } else {
        goneUpTo = revision;
      }
      step *= DEPLOYMENT_OPTIONS.historyStepFactor;
    }
    return found;
  }

  private async readPage(
    position: SourcePosition,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined> {
    const page = await this.kernel.get(DeploymentSource).readEndpointChanges(position, signal);
    this.kernel.get(ServingMetrics).countSourceCall(page ? 'changes' : 'history-gone');
    if (page && page.position.era !== position.era) {
      throw new ServingError('endpoint-failed', { detail: 'The era changed between pages.' });
    }
    return page;
  }
}
