/**
 * Tells crashes of endpoints from the loss of single connections, and reports the requests that a
 * crash ended.
 *
 * A connection that breaks says little: the endpoint may reset one, or a link may be cut. After a
 * crash nothing listens at the address until the endpoint has started again.
 */
import type { RequestPart } from '../../core';
import { CRASH_EVIDENCE_OPTIONS, toCrashSuspect, type EndpointHealth } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Quarantine, ServingMetrics, type KnownBackEnd } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';
import { probeEndpoint } from './probeEndpoint';
import type { ReachMonitor } from './ReachMonitor';

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

/** Output of one attempt; reports that its parts are sound once it has begun well. @internal */
export class BeginningWatch {
  private firstOutputAtMs: number | undefined;

  private isReported = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly parts: ReadonlyArray<RequestPart>,
  ) {}

  /** Monotonic time of the first output; undefined if there was none. */
  get outputSinceMs(): number | undefined {
    return this.firstOutputAtMs;
  }

  /** Records output. */
  observe(): void {
    const nowMs = this.kernel.clock.nowMs();
    this.firstOutputAtMs ??= nowMs;
    if (nowMs - this.firstOutputAtMs >= CRASH_EVIDENCE_OPTIONS.soundAfterMs) this.report();
  }

  /** Records that the answer is complete. */
  complete(): void {
    this.report();
  }

  private report(): void {
    if (this.isReported || this.firstOutputAtMs === undefined) return;
    this.isReported = true;
    this.kernel.get(Quarantine).recordSound(this.parts, this.firstOutputAtMs);
  }
}

/** @internal */
export class CrashReporter {
  private readonly checks = new Map<string, CrashCheck>();

  constructor(
    private readonly kernel: Kernel,
    private readonly health: EndpointHealth,
    private readonly reach: ReachMonitor,
  ) {}

  /** Reports a request whose connection broke, and counts it there if its endpoint has crashed. */
  async reportLoss(
    admitted: AdmittedRequest,
    backEnd: KnownBackEnd,
    { hadHead, outputSinceMs }: AttemptProgress,
  ): Promise<void> {
    const lostAtMs = this.kernel.clock.nowMs();
    if (!(await this.hasCrashed(backEnd))) return;
    this.health.recordCrash(backEnd.endpointId, lostAtMs);
    const crashId = getCrashId(backEnd);
    const outputForMs = outputSinceMs === undefined ? undefined : lostAtMs - outputSinceMs;
    const { parts, fingerprint, crashesAtStart } = admitted;
    const suspect = toCrashSuspect(parts, { hadHead, outputForMs });
    const resent = crashesAtStart > 0 ? fingerprint : undefined;
    if (suspect) this.kernel.get(Quarantine).recordCrash(crashId, suspect, resent);
    const target = admitted;
    if (outputSinceMs === undefined) target.crashesAtStart += 1;
    this.kernel.get(ServingMetrics).countCrashLoss(backEnd.service, hadHead);
    this.kernel.log.warn('endpoint crashed', {
      requestId: admitted.request.requestId,
      customer: admitted.work.customer,
      route: admitted.route.name,
      endpointId: backEnd.endpointId,
      crashId,
      promptParts: admitted.request.sharedPromptParts,
      fingerprint,
      crashesAtStart,
      hadHead,
      outputForMs: outputForMs === undefined ? undefined : Math.round(outputForMs),
    });
  }

  /** Watches how one attempt of a request begins at its endpoint. */
  watchBeginning({ parts }: AdmittedRequest): BeginningWatch {
    return new BeginningWatch(this.kernel, parts);
  }

  /** Records that a request whose answer is complete began well at a monotonic time. */
  recordSound({ parts }: AdmittedRequest, beganAtMs: number): void {
    this.kernel.get(Quarantine).recordSound(parts, beganAtMs);
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
    if (this.isDeparting(backEnd)) return false;
    if ((await probeEndpoint(backEnd.address)) !== 'refused') return false;
    // To a node that is cut off, all endpoints look as if they had crashed.
    return !(await this.reach.isCutOffBesides(backEnd)) && !this.isDeparting(backEnd);
  }

  /** An endpoint that was told to leave exits after a while; that is no crash. */
  private isDeparting({ endpointId }: KnownBackEnd): boolean {
    const known = this.kernel.get(Deployment).find(endpointId);
    if (!known) return true;
    const leavingForMs = this.kernel.clock.nowMs() - (known.leavingSinceMs ?? Infinity);
    return leavingForMs >= FORWARDING_OPTIONS.minDepartureMs;
  }

  private forgetOldChecks(nowMs: number): void {
    this.checks.forEach(({ startedAtMs }, crashId) => {
      if (nowMs - startedAtMs >= FORWARDING_OPTIONS.probeReuseMs) this.checks.delete(crashId);
    });
  }
}
