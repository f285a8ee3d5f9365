/**
 * The limits of one kind that endpoints have named in answers to this node or to another one.
 *
 * A limit holds for one process of an endpoint, from an answer that names it until an answer to a
 * request that was sent later names none. The later of two statements wins, so nodes that merge what
 * the others know agree in the end, whatever the order.
 */
import type { EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import { Members, type KnownBackEnd } from '../../services';
import { FORWARDING_OPTIONS } from './options';

type EndpointProcess = Pick<KnownBackEnd, 'endpointId' | 'startedAtWallMs'>;

/** A kind of limit, as other nodes and the log name it. @internal */
export interface LimitKind {
  /** Of the state that nodes share. */
  readonly type: string;
  readonly event: string;
  /** Field of the log line with what a limit names for a second. */
  readonly valueField: string;
}

/** Requests a second that an endpoint takes. @internal */
export const REQUEST_LIMITS: LimitKind = {
  type: 'endpoint-limits',
  event: 'endpoint limit',
  valueField: 'requestsPerSecond',
};

/** Requests a second that a brittle endpoint can reject without falling over. @internal */
export const REJECTION_LIMITS: LimitKind = {
  type: 'brittle-endpoints',
  event: 'endpoint brittle',
  valueField: 'maxRejectionsPerSecond',
};

/** The limits of each kind. @internal */
export interface EndpointLimits {
  readonly requests: NamedLimits;
  readonly rejections: NamedLimits;
}

/** What is known of the limit of one process. @internal */
export interface NamedLimit extends EndpointProcess {
  /** What the limit names for a second, from all nodes together. */
  readonly perSecond: number;
  /** Monotonic time of the last answer that named a limit. */
  readonly namedAtMs: number;
  /** Monotonic time at which the last request was sent whose answer named none. */
  readonly clearedAtMs: number;
}

function isInForce({ namedAtMs, clearedAtMs }: NamedLimit): boolean {
  return namedAtMs >= clearedAtMs;
}

/** What other nodes were told last of a limit. */
interface SharedLimit {
  readonly namedAtMs: number;
  /** Undefined if it had ended. */
  readonly perSecond: number | undefined;
}

/** Whether a limit differs by enough to tell other nodes at once. */
function isNews(shared: number | undefined, current: number | undefined): boolean {
  if (shared === undefined || current === undefined) return shared !== current;
  return Math.abs(current - shared) > shared * FORWARDING_OPTIONS.limitChangeShare;
}

/** @internal */
export class NamedLimits {
  private readonly limits = new Map<EndpointId, NamedLimit>();

  private readonly shared = new Map<EndpointId, SharedLimit>();

  private contentRevision = 0;

  constructor(
    private readonly kernel: Kernel,
    readonly kind: LimitKind,
  ) {}

  /** Grows with each change that other nodes have to know; 0 while there was none. */
  get revision(): number {
    return this.contentRevision;
  }

  get size(): number {
    return this.limits.size;
  }

  list(): ReadonlyArray<NamedLimit> {
    return [...this.limits.values()];
  }

  /**
   * Records an answer of an endpoint's process.
   * @param perSecond undefined if the answer names no limit.
   * @param sentAtMs monotonic time at which its request was sent.
   */
  record(
    { endpointId, startedAtWallMs }: EndpointProcess,
    perSecond: number | undefined,
    sentAtMs: number,
  ): void {
    const known = this.limits.get(endpointId);
    if (known && known.startedAtWallMs > startedAtWallMs) return;
    const before = known?.startedAtWallMs === startedAtWallMs ? known : undefined;
    const why = 'said in an answer';
    let hasNews = false;
    if (perSecond !== undefined) {
      const namedAtMs = this.kernel.clock.nowMs();
      const clearedAtMs = before?.clearedAtMs ?? -Infinity;
      const limit = { endpointId, startedAtWallMs, perSecond, namedAtMs, clearedAtMs };
      hasNews = this.update(limit, why);
    } else if (before && sentAtMs > before.clearedAtMs) {
      hasNews = this.update({ ...before, clearedAtMs: sentAtMs }, why);
    }
    if (hasNews) this.kernel.get(Members).announceToPartners();
  }

  /** Merges what another node knows. */
  merge(limit: NamedLimit): void {
    const known = this.limits.get(limit.endpointId);
    if (known && known.startedAtWallMs > limit.startedAtWallMs) return;
    const before = known?.startedAtWallMs === limit.startedAtWallMs ? known : undefined;
    const newest = before && before.namedAtMs >= limit.namedAtMs ? before : limit;
    const clearedAtMs = Math.max(before?.clearedAtMs ?? -Infinity, limit.clearedAtMs);
    this.update({ ...newest, clearedAtMs }, 'reported by another node');
  }

  /** Returns what a process names for a second now; undefined without a limit. */
  find({ endpointId, startedAtWallMs }: EndpointProcess): number | undefined {
    const known = this.limits.get(endpointId);
    if (known?.startedAtWallMs !== startedAtWallMs || !isInForce(known)) return undefined;
    return known.perSecond;
  }

  /** Whether a process is known to have named a limit, which may have ended since. */
  has({ endpointId, startedAtWallMs }: EndpointProcess): boolean {
    return this.limits.get(endpointId)?.startedAtWallMs === startedAtWallMs;
  }

  /** Forgets limits that weren't named for long. */
  sweep(): void {
    const oldestMs = this.kernel.clock.nowMs() - FORWARDING_OPTIONS.limitMemoryMs;
    this.list()
      .filter(({ namedAtMs }) => namedAtMs < oldestMs)
      .forEach((limit) => {
        if (isInForce(limit)) this.report(limit, undefined, 'not named for long');
        this.limits.delete(limit.endpointId);
        this.shared.delete(limit.endpointId);
        this.contentRevision += 1;
      });
  }

  /** Returns whether other nodes have to know at once. */
  private update(limit: NamedLimit, why: string): boolean {
    const { endpointId, namedAtMs } = limit;
    const isOfNextProcess = this.limits.get(endpointId)?.startedAtWallMs !== limit.startedAtWallMs;
    const before = isOfNextProcess ? undefined : this.shared.get(endpointId);
    this.limits.set(endpointId, limit);
    const perSecond = this.find(limit);
    const hasNews = isNews(before?.perSecond, perSecond);
    const sharedAgeMs = namedAtMs - (before?.namedAtMs ?? -Infinity);
    if (hasNews || sharedAgeMs > FORWARDING_OPTIONS.limitRenewalMs) {
      this.shared.set(endpointId, { namedAtMs, perSecond });
      this.contentRevision += 1;
    }
    if (hasNews) this.report(limit, perSecond, why);
    return hasNews;
  }

  private report({ endpointId }: NamedLimit, perSecond: number | undefined, why: string): void {
    const state = perSecond === undefined ? 'ended' : 'named';
    const { event, valueField } = this.kind;
    this.kernel.log.info(event, { endpointId, state, [valueField]: perSecond, why });
  }
}
