/**
 * This node's own load on endpoints: requests in flight, and backups of runs on other engines.
 */
import type { Clock, EndpointId } from '../../core';
import type { EndpointLoad, EndpointPace } from '../../decisions';
import { LoadSource } from '../../services';
import type { EstimateInput, OutputEstimator } from './OutputEstimator';

/** A `copy` takes KV cache but no slot, and its prompt needs no prefill. @internal */
export type ReservationKind = 'request' | 'copy';

/** @internal */
export interface Reservation {
  readonly recordTokens: (outputTokens: number) => void;
  /** Returns false if the reservation was released before. */
  readonly release: () => boolean;
}

interface HeldWork {
  readonly work: EstimateInput;
  readonly kind: ReservationKind;
  readonly promptTokens: number;
  /** Tokens of the prompt that the endpoint had cached. */
  readonly cachedTokens: number;
  readonly producedTokens: number;
}

/** @internal */
export class LocalLoad extends LoadSource {
  private readonly byEndpoint = new Map<EndpointId, Map<symbol, HeldWork>>();

  constructor(
    private readonly estimator: OutputEstimator,
    private readonly pace: EndpointPace,
    private readonly clock: Clock,
  ) {
    super();
  }

  reserve(
    endpointId: EndpointId,
    kind: ReservationKind,
    work: EstimateInput,
    producedTokens: number,
    cachedTokens = 0,
  ): Reservation {
    const id = Symbol(kind);
    const held = this.byEndpoint.get(endpointId) ?? new Map<symbol, HeldWork>();
    this.byEndpoint.set(endpointId, held);
    const promptTokens = work.prompt?.promptTokens ?? 0;
    held.set(id, { work, kind, promptTokens, cachedTokens, producedTokens });
    return {
      recordTokens: (outputTokens) => {
        const before = held.get(id);
        if (before) held.set(id, { ...before, producedTokens: outputTokens });
      },
      release: () => {
        const wasHeld = held.delete(id);
        if (held.size === 0) this.byEndpoint.delete(endpointId);
        return wasHeld;
      },
    };
  }

  getLoad(endpointId: EndpointId): Omit<EndpointLoad, 'endpointId' | 'paceMs'> {
    const held = [...(this.byEndpoint.get(endpointId)?.values() ?? [])];
    const requests = held.filter(({ kind }) => kind === 'request');
    const sum = (parts: ReadonlyArray<HeldWork>, count: (part: HeldWork) => number): number =>
      parts.reduce((total, part) => total + count(part), 0);
    const countHeld = ({ promptTokens, producedTokens }: HeldWork): number =>
      promptTokens + producedTokens;
    return {
      requests: requests.length,
      heldTokens: sum(held, countHeld),
      pendingPrefillTokens: sum(requests, ({ promptTokens, cachedTokens, producedTokens }) =>
        producedTokens === 0 ? promptTokens - cachedTokens : 0,
      ),
      finalTokens: sum(
        held,
        (part) => countHeld(part) + this.estimator.getRemaining(part.work, part.producedTokens),
      ),
    };
  }

  override listLoads(): ReadonlyArray<EndpointLoad> {
    const nowMs = this.clock.nowMs();
    const endpointIds = new Set([...this.byEndpoint.keys(), ...this.pace.listMeasured(nowMs)]);
    return [...endpointIds].map((endpointId) => ({
      endpointId,
      ...this.getLoad(endpointId),
      paceMs: this.pace.get(endpointId, nowMs),
    }));
  }
}
