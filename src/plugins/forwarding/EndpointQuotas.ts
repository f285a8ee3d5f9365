/**
 * This node's shares of the quotas of endpoints that take only so many requests from all nodes.
 *
 * A request uses its share from its placement on, and until its window ends. Requests to endpoints
 * without a quota are recorded too, as one may come into force.
 */
import type { EndpointId, ServingConfiguration } from '../../core';
import {
  computeQuotaDelayMs,
  computeQuotaShare,
  listCountedSends,
  PLACE_COUNTING,
  REQUEST_QUOTA_OPTIONS,
  WRITE_COUNTING,
  type EndpointSend,
  type PlacedSend,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, ServingMetrics, type KnownBackEnd } from '../../services';
import type { QuotaInForce, QuotaSource } from './QuotaSource';

type QuotaWindow = Pick<QuotaInForce, 'windowMs' | 'counting'>;

/** Windows of the quotas that may come into force. */
const KEPT_WINDOWS: ReadonlyArray<QuotaWindow> = [
  { windowMs: REQUEST_QUOTA_OPTIONS.coldWindowMs, counting: WRITE_COUNTING },
  {
    windowMs: REQUEST_QUOTA_OPTIONS.limitPeriodMs + REQUEST_QUOTA_OPTIONS.delayMarginMs,
    counting: WRITE_COUNTING,
  },
  { windowMs: REQUEST_QUOTA_OPTIONS.rejectionWindowMs, counting: PLACE_COUNTING },
];

/** The part of the quotas that one placed request uses. @internal */
export interface QuotaUse {
  /** False if a quota has come into force since the placement, and other requests use it. */
  readonly mayWrite: () => boolean;
  readonly markWriting: () => void;
  /** Records that the answer is complete, so that the request holds no place any more. */
  readonly markComplete: () => void;
  /** Ends the request; returns what was not used, because nothing was written. */
  readonly release: () => void;
}

interface RecordedSend extends EndpointSend {
  readonly id: symbol;
}

/** State of one endpoint's quota at this node. @internal */
export interface QuotaState {
  readonly used: number;
  readonly share: number;
}

/** @internal */
export class EndpointQuotas {
  private readonly sends = new Map<EndpointId, ReadonlyArray<RecordedSend>>();

  private retryAtMs = Infinity;

  /** @param onRoom called when a share that was used up has room again. */
  constructor(
    private readonly kernel: Kernel,
    private readonly sources: ReadonlyArray<QuotaSource>,
    private readonly onRoom: () => void,
  ) {}

  /** Whether one more request may be placed at the endpoint. */
  hasRoom(backEnd: KnownBackEnd, configuration: ServingConfiguration): boolean {
    return this.getDelayMs(backEnd, this.listQuotas(backEnd, configuration)) === 0;
  }

  /** Uses the quotas for one request; undefined if one of them is used up. */
  use(backEnd: KnownBackEnd, configuration: ServingConfiguration): QuotaUse | undefined {
    const quotas = this.listQuotas(backEnd, configuration);
    if (this.getDelayMs(backEnd, quotas) > 0) return undefined;
    if (quotas.length > 0) {
      this.kernel.get(ServingMetrics).countQuotaRequest(backEnd.service, 'placed');
    }
    const { clock } = this.kernel;
    const { endpointId } = backEnd;
    const id = Symbol('send');
    const kept = this.listKept(endpointId, quotas);
    const send = { id, writtenAtMs: undefined, endedAtMs: undefined, isComplete: false };
    this.sends.set(endpointId, [...kept, send]);
    const update = (change: (recorded: RecordedSend) => ReadonlyArray<RecordedSend>): void => {
      const sends = this.sends.get(endpointId) ?? [];
      this.sends.set(
        endpointId,
        sends.flatMap((each) => (each.id === id ? change(each) : each)),
      );
    };
    return {
      mayWrite: () => this.isWithinShares(backEnd, configuration),
      markWriting: () => update((sent) => [{ ...sent, writtenAtMs: clock.nowMs() }]),
      markComplete: () => update((sent) => [{ ...sent, isComplete: true }]),
      release: () =>
        update((sent) =>
          sent.writtenAtMs === undefined ? [] : [{ ...sent, endedAtMs: clock.nowMs() }],
        ),
    };
  }

  /**
   * Returns the time until the first of the endpoints whose quotas are used up has room or is no longer
   * limited; undefined if there is none.
   */
  getNextRoomMs(
    backEnds: ReadonlyArray<KnownBackEnd>,
    configuration: ServingConfiguration,
  ): number | undefined {
    const delaysMs = backEnds
      .map((backEnd) => this.getDelayMs(backEnd, this.listQuotas(backEnd, configuration)))
      .filter((delayMs) => delayMs > 0);
    return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
  }

  /**
   * Returns the time after which a request that only the quotas kept out may be tried again;
   * undefined if an endpoint isn't limited.
   */
  getRetryAfterMs(
    backEnds: ReadonlyArray<KnownBackEnd>,
    configuration: ServingConfiguration,
  ): number | undefined {
    const delaysMs = backEnds.map((backEnd) => {
      const quotas = this.listQuotas(backEnd, configuration);
      // After a window, each node with a share has room, and the caller may come to another one.
      const longestMs = Math.max(0, ...quotas.map(({ windowMs }) => windowMs));
      return Math.min(this.getDelayMs(backEnd, quotas), longestMs);
    });
    if (delaysMs.length === 0 || delaysMs.includes(0)) return undefined;
    return Math.min(...delaysMs);
  }

  /**
   * Has the listener called once a quota may have room again, and after a short window at the latest,
   * as timers fire at once for delays that they can't hold.
   */
  scheduleRetry(roomAfterMs: number): void {
    const { clock } = this.kernel;
    const delayMs = Math.min(roomAfterMs, REQUEST_QUOTA_OPTIONS.coldWindowMs);
    const atMs = clock.nowMs() + delayMs;
    if (atMs >= this.retryAtMs) return;
    this.retryAtMs = atMs;
    this.kernel.runTask('retry after a quota', async (signal) => {
      await clock.sleep(delayMs, signal);
      if (this.retryAtMs === atMs) this.retryAtMs = Infinity;
      this.onRoom();
    });
  }

  /** Returns the state of the quota of each endpoint that a source limits. */
  listStates(source: QuotaSource): ReadonlyArray<QuotaState> {
    const deployment = this.kernel.get(Deployment);
    const { configuration } = deployment;
    if (!configuration) return [];
    return deployment.listAll().flatMap((backEnd) => {
      const quota = source.find(backEnd, configuration);
      if (!quota) return [];
      const used = this.listCounted(backEnd.endpointId, quota).length;
      return { used, share: this.getShare(backEnd.endpointId, quota) };
    });
  }

  /** Drops the records of requests that no longer count. */
  sweep(): void {
    const deployment = this.kernel.get(Deployment);
    const { configuration } = deployment;
    [...this.sends.keys()].forEach((endpointId) => {
      const backEnd = deployment.find(endpointId);
      const quotas = backEnd && configuration ? this.listQuotas(backEnd, configuration) : [];
      const kept = this.listKept(endpointId, quotas);
      if (kept.length === 0) this.sends.delete(endpointId);
      else this.sends.set(endpointId, kept);
    });
  }

  private listQuotas(
    backEnd: KnownBackEnd,
    configuration: ServingConfiguration,
  ): ReadonlyArray<QuotaInForce> {
    return this.sources.flatMap((source) => source.find(backEnd, configuration) ?? []);
  }

  /** Returns the time until all quotas have room for one more request, or have ended. */
  private getDelayMs({ endpointId }: KnownBackEnd, quotas: ReadonlyArray<QuotaInForce>): number {
    const nowMs = this.kernel.clock.nowMs();
    const delaysMs = quotas.map((quota) => {
      const counted = this.listCounted(endpointId, quota);
      const share = this.getShare(endpointId, quota);
      const delayMs = computeQuotaDelayMs(counted, share, quota.windowMs, nowMs) ?? Infinity;
      return Math.min(delayMs, quota.endsAtMs - nowMs);
    });
    return Math.max(0, ...delaysMs);
  }

  private isWithinShares(backEnd: KnownBackEnd, configuration: ServingConfiguration): boolean {
    const { endpointId } = backEnd;
    return this.listQuotas(backEnd, configuration).every(
      (quota) => this.listCounted(endpointId, quota).length <= this.getShare(endpointId, quota),
    );
  }

  private getShare(endpointId: EndpointId, quota: QuotaInForce): number {
    const { roster, requests, minShare = 0, maxShare = Infinity } = quota;
    const share = computeQuotaShare(endpointId, this.kernel.settings.vmId, roster, requests);
    return Math.max(0, minShare, Math.min(share, maxShare));
  }

  private listCounted(endpointId: EndpointId, quota: QuotaWindow): ReadonlyArray<PlacedSend> {
    const sends = quota.counting.list(this.sends.get(endpointId) ?? []);
    return listCountedSends(sends, quota.windowMs, this.kernel.clock.nowMs());
  }

  /** Returns the requests that count for a quota in force, or for one that comes into force. */
  private listKept(
    endpointId: EndpointId,
    quotas: ReadonlyArray<QuotaInForce>,
  ): ReadonlyArray<RecordedSend> {
    const windows = [...KEPT_WINDOWS, ...quotas];
    const nowMs = this.kernel.clock.nowMs();
    return (this.sends.get(endpointId) ?? []).filter((send) =>
      windows.some(({ windowMs, counting }) => counting.getWindowStartMs(send) > nowMs - windowMs),
    );
  }
}
