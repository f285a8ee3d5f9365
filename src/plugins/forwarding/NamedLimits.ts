/**
 * The rate limits that endpoints have named in their answers.
 *
 * A limit holds for one process of an endpoint, from an answer that names it until an answer to a
 * request that was sent later names none.
 */
import type { EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import type { KnownBackEnd } from '../../services';

/** Time without an answer after which a limit is forgotten, so that the endpoint is tried again. */
const LIMIT_MEMORY_MS = 60_000;

type EndpointProcess = Pick<KnownBackEnd, 'endpointId' | 'startedAtWallMs'>;

/** @internal */
export interface NamedLimit extends EndpointProcess {
  /** Requests a second from all nodes together. */
  readonly requestsPerSecond: number;
  /** Monotonic time of the last answer that named a limit. */
  readonly namedAtMs: number;
  /** Monotonic time at which the last request was sent whose answer named none. */
  readonly clearedAtMs: number;
}

/** @internal */
export class NamedLimits {
  private readonly limits = new Map<EndpointId, NamedLimit>();

  constructor(private readonly kernel: Kernel) {}

  /**
   * Records an answer of an endpoint's process.
   * @param requestsPerSecond undefined if the answer names no limit.
   * @param sentAtMs monotonic time at which its request was sent.
   */
  record(
    { endpointId, startedAtWallMs }: EndpointProcess,
    requestsPerSecond: number | undefined,
    sentAtMs: number,
  ): void {
    const known = this.limits.get(endpointId);
    const before = known?.startedAtWallMs === startedAtWallMs ? known : undefined;
    if (requestsPerSecond !== undefined) {
      const namedAtMs = this.kernel.clock.nowMs();
      const clearedAtMs = before?.clearedAtMs ?? -Infinity;
      this.update({ endpointId, startedAtWallMs, requestsPerSecond, namedAtMs, clearedAtMs });
    } else if (before && sentAtMs > before.clearedAtMs) {
      this.update({ ...before, clearedAtMs: sentAtMs });
    }
  }

  /** Returns the requests a second that a process takes now; undefined without a limit. */
  find({ endpointId, startedAtWallMs }: EndpointProcess): number | undefined {
    const known = this.limits.get(endpointId);
    if (known?.startedAtWallMs !== startedAtWallMs || !this.isInForce(known)) return undefined;
    return known.requestsPerSecond;
  }

  /** Forgets limits of which nothing was heard for long. */
  sweep(): void {
    const oldestMs = this.kernel.clock.nowMs() - LIMIT_MEMORY_MS;
    this.limits.forEach((limit) => {
      if (Math.max(limit.namedAtMs, limit.clearedAtMs) >= oldestMs) return;
      if (this.find(limit) !== undefined) this.report(limit, undefined);
      this.limits.delete(limit.endpointId);
    });
  }

  private isInForce({ namedAtMs, clearedAtMs }: NamedLimit): boolean {
    return namedAtMs >= clearedAtMs;
  }

  private update(limit: NamedLimit): void {
    const before = this.find(limit);
    this.limits.set(limit.endpointId, limit);
    const after = this.find(limit);
    if (before !== after) this.report(limit, after);
  }

  private report({ endpointId }: NamedLimit, requestsPerSecond: number | undefined): void {
    this.kernel.log.info('endpoint limit', {
      endpointId,
      state: requestsPerSecond === undefined ? 'ended' : 'named',
      requestsPerSecond,
    });
  }
}
