/**
 * Tells crashes of endpoints from the loss of single connections, and reports the requests that a
 * crash ended.
 *
 * A connection that breaks says little: the endpoint may reset one, or a link may be cut. After a
 * crash nothing listens at the address until the endpoint has started again.
 */
import type { Kernel } from '../../kernel';
import { Deployment, ServingMetrics, type KnownBackEnd } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';
import { probeEndpoint } from './probeEndpoint';

/** How far a request was when its connection broke. @internal */
export interface AttemptProgress {
  readonly hadHead: boolean;
  /** Monotonic time of the first output; undefined if there was none. */
  readonly outputSinceMs: number | undefined;
}

interface CrashCheck {
  readonly startedAtMs: number;
  readonly hasCrashed: Promise<boolean>;
}

/** The same for one process of an endpoint at all nodes. */
function getCrashId({ endpointId, startedAtWallMs }: KnownBackEnd): string {
  return `${endpointId}@${startedAtWallMs}`;
}

/** @internal */
export class CrashReporter {
  private readonly checks = new Map<string, CrashCheck>();

  constructor(private readonly kernel: Kernel) {}

  /** Reports a request whose connection broke; returns whether its endpoint has crashed. */
  async reportLoss(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    { hadHead, outputSinceMs }: AttemptProgress,
  ): Promise<boolean> {
    const lostAtMs = this.kernel.clock.nowMs();
    if (!(await this.hasCrashed(backEnd))) return false;
    const crashId = getCrashId(backEnd);
    this.kernel.get(ServingMetrics).countCrashLoss(backEnd.service, hadHead);
    this.kernel.log.warn('endpoint crashed', {
      requestId: admitted.request.requestId,
      customer: admitted.work.customer,
      route: admitted.route.name,
      endpointId: backEnd.endpointId,
      crashId,
      promptParts: admitted.request.sharedPromptParts,
      hadHead,
      outputForMs: outputSinceMs === undefined ? undefined : Math.round(lostAtMs - outputSinceMs),
    });
    return true;
  }

  /** One probe answers for all requests that a crash ended at about the same time. */
  private async hasCrashed(backEnd: KnownBackEnd): Promise<boolean> {
    const nowMs = this.kernel.clock.nowMs();
    const crashId = getCrashId(backEnd);
    const known = this.checks.get(crashId);
    if (known && nowMs - known.startedAtMs < FORWARDING_OPTIONS.probeReuseMs) {
      return known.hasCrashed;
    }
    const hasCrashed = this.check(backEnd);
    this.checks.set(crashId, { startedAtMs: nowMs, hasCrashed });
    this.forgetOldChecks(nowMs);
    return hasCrashed;
  }

  private async check(backEnd: KnownBackEnd): Promise<boolean> {
    // An endpoint that was told to leave exits; that is no crash.
    const find = (): KnownBackEnd | undefined =>
      this.kernel.get(Deployment).find(backEnd.endpointId);
    if (find()?.leavingSinceMs !== undefined) return false;
    const outcome = await probeEndpoint(backEnd.address);
    return outcome === 'refused' && find()?.leavingSinceMs === undefined;
  }

  private forgetOldChecks(nowMs: number): void {
    this.checks.forEach(({ startedAtMs }, crashId) => {
      if (nowMs - startedAtMs >= FORWARDING_OPTIONS.probeReuseMs) this.checks.delete(crashId);
    });
  }
}
