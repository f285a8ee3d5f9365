/**
 * The data centres that the operator has evacuated: their endpoints get no new work.
 *
 * The later position of a data centre wins. An order of an earlier era that the source lacks may have
 * been lost with that era, so it stays in force until a takeback is seen or it is forgotten.
 */
import { isEarlier, type SourcePosition } from '../../core';
import { hashText } from '../../decisions';
import type { Kernel } from '../../kernel';
import type { PublishedChange } from '../../services';
import type { DeploymentEvents } from './DeploymentEvents';
import { DEPLOYMENT_OPTIONS } from './options';
import { ReportedValues } from './ReportedValues';

type PublishedEvacuation = Extract<PublishedChange, { readonly kind: 'evacuation' }>;

/** The newest known order or takeback of one data centre. @internal */
export interface EvacuationState {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
  readonly position: SourcePosition;
}

interface KnownState extends EvacuationState {
  /** Monotonic time at which this node learned it. */
  readonly atMs: number;
  /** Monotonic time at which the source was found to lack the order; undefined while it has it. */
  readonly lostAtMs: number | undefined;
}

/** @internal */
export class Evacuations {
  private readonly states = new Map<string, KnownState>();

  private readonly reportedValues = new ReportedValues();

  private contentRevision = 0;

  private lacksEvacuations = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly events: DeploymentEvents,
    private readonly regions: ReadonlyMap<string, string>,
  ) {}

  /** Grows with each change that other nodes have to know; 0 while there was no order. */
  get revision(): number {
    return this.contentRevision;
  }

  /** Equal on two nodes that know the same orders; takebacks are learned at different positions. */
  get digest(): number {
    const ordered = this.list()
      .filter(({ isEvacuated }) => isEvacuated)
      .map(({ dataCentre, position }) => `${dataCentre} ${position.era} ${position.revision}`);
    return hashText(ordered.sort().join('\n'));
  }

  /** Whether orders may be missing here: a node of an earlier release relays none. */
  get mayLackEvacuations(): boolean {
    return this.lacksEvacuations;
  }

  /** @param isComplete whether every order is known up to the position that the node knows. */
  setComplete(isComplete: boolean): void {
    this.lacksEvacuations = !isComplete;
  }

  /** Returns all known orders and takebacks. */
  list(): ReadonlyArray<EvacuationState> {
    return [...this.states.values()].map(({ dataCentre, isEvacuated, position }) => ({
      dataCentre,
      isEvacuated,
      position,
    }));
  }

  /** Returns the monotonic time at which this node learned the order; undefined without one. */
  getSinceMs(dataCentre: string): number | undefined {
    const known = this.states.get(dataCentre);
    return known?.isEvacuated ? known.atMs : undefined;
  }

  /** @param complete position up to which the node knows every change. */
  applyPublished(
    { key, dataCentre, isEvacuated, position, fault }: PublishedEvacuation,
    complete: SourcePosition,
  ): void {
    if (fault !== undefined && this.reportedValues.add({ key, position })) {
      this.kernel.log.warn('evacuation key has an unreadable value', {
        key,
        ...position,
        reason: fault,
      });
    }
    const why = isEvacuated ? 'key written' : 'key removed';
    if (position) this.apply({ dataCentre, isEvacuated, position }, complete, why);
    else this.setState({ dataCentre, isEvacuated, position: complete }, why);
  }

  /**
   * Applies an order or a takeback unless a later one is known. An unknown order up to the complete
   * position was taken back by then.
   */
  apply(state: EvacuationState, complete: SourcePosition, why: string): void {
    const { position } = state;
    const isCovered = complete.era === position.era && !isEarlier(complete, position);
    const isKnown = this.states.has(state.dataCentre);
    if (!isKnown && state.isEvacuated && isCovered && !this.lacksEvacuations) return;
    this.setState(state, why);
  }

  private setState(state: EvacuationState, why: string): void {
    const { dataCentre, isEvacuated, position } = state;
    const before = this.states.get(dataCentre);
    if (before && !isEarlier(before.position, position)) return;
    const wasEvacuated = before?.isEvacuated ?? false;
    const isSame = wasEvacuated === isEvacuated;
    const atMs = before && isSame ? before.atMs : this.kernel.clock.nowMs();
    this.states.delete(dataCentre);
    this.states.set(dataCentre, { ...state, atMs, lostAtMs: undefined });
    this.contentRevision += 1;
    this.dropOldTakeback();
    if (!isSame) this.report(state, why);
  }

  /**
   * Takes back the orders that a complete list of the same era lacks.
   * @param position up to which the list is complete.
   */
  reconcile(listed: ReadonlySet<string>, position: SourcePosition, why: string): void {
    this.listOrders()
      .filter(
        ({ dataCentre, ...known }) =>
          known.position.era === position.era && !listed.has(dataCentre),
      )
      .forEach(({ dataCentre }) =>
        this.setState({ dataCentre, isEvacuated: false, position }, why),
      );
  }

  /**
   * Takes back the orders of earlier eras that weren't written again for as long as departures are
   * remembered. An order that the source still lists has a position of its newest era.
   * @param complete position up to which the node knows every change.
   */
  expireLost(complete: SourcePosition): void {
    const nowMs = this.kernel.clock.nowMs();
    const oldestMs = nowMs - DEPLOYMENT_OPTIONS.departureMemoryMs;
    this.listOrders()
      .filter(({ position }) => position.era < complete.era)
      .forEach((order) => {
        const { dataCentre, lostAtMs } = order;
        if (lostAtMs === undefined) this.markLost(order, complete.era, nowMs);
        else if (lostAtMs < oldestMs) {
          const why = 'not renewed since the source changed its era';
          this.setState({ dataCentre, isEvacuated: false, position: complete }, why);
        }
      });
  }

  private listOrders(): ReadonlyArray<KnownState> {
    return [...this.states.values()].filter(({ isEvacuated }) => isEvacuated);
  }

  private markLost(order: KnownState, era: number, lostAtMs: number): void {
    const { dataCentre, position } = order;
    this.states.set(dataCentre, { ...order, lostAtMs });
    this.kernel.log.warn('evacuation kept without its key', {
      dataCentre,
      ...position,
      newestEra: era,
    });
  }

  /** Bounds the memory when another writer adds and removes names without end. */
  private dropOldTakeback(): void {
    if (this.states.size <= DEPLOYMENT_OPTIONS.maxEvacuationStates) return;
    const oldest = [...this.states.values()].find(({ isEvacuated }) => !isEvacuated);
    if (oldest) this.states.delete(oldest.dataCentre);
  }

  private report({ dataCentre, isEvacuated, position }: EvacuationState, why: string): void {
    this.kernel.log.warn('evacuation', {
      dataCentre,
      state: isEvacuated ? 'ordered' : 'taken back',
      ...position,
      // An order for a name that the settings don't contain may be a typing error.
      isInSettings: this.regions.has(dataCentre),
      why,
    });
    this.events.notifyChange();
    this.events.notifyEvacuation();
  }
}
