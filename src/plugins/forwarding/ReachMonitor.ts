/**
 * Finds out of which services no endpoint accepts connections of this node.
 *
 * One task probes each service of which nothing was heard for a while, with a connection to a random
 * endpoint that is closed at once. If that fails, or a request couldn't be sent, several endpoints are
 * probed together, as one endpoint that is down says nothing about the others.
 */
import {
  chooseSome,
  REACH_OPTIONS,
  updateReach,
  type ProbeRound,
  type ServiceReach,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, type KnownBackEnd } from '../../services';
import { FORWARDING_OPTIONS } from './options';
import { probeEndpoint } from './probeEndpoint';

/** @internal */
export class ReachMonitor {
  private readonly services = new Map<string, ServiceReach>();

  private readonly running = new Map<string, Promise<boolean>>();

  private listeners: ReadonlyArray<() => void> = [];

  private changeCount = 0;

  constructor(private readonly kernel: Kernel) {}

  /** Grows with each change of the services that aren't reached; 0 before the first. */
  get revision(): number {
    return this.changeCount;
  }

  reaches(service: string): boolean {
    return this.services.get(service)?.isReached ?? true;
  }

  /** Services that have endpoints, none of which accepts connections of this node. */
  listUnreached(): ReadonlyArray<string> {
    return [...this.services.keys()].filter((service) => !this.reaches(service));
  }

  /** Calls the listener after a service was lost or is reached again. */
  onChange(listener: () => void): void {
    this.listeners = [...this.listeners, listener];
  }

  /** Records that an endpoint has answered; it doesn't show that another connection would open. */
  recordReceived(service: string): void {
    const before = this.getReach(service);
    if (!before.isReached) return;
    this.services.set(service, { ...before, lastReachedMs: this.kernel.clock.nowMs() });
  }

  /** Whether any endpoint of a service accepts a connection now. */
  async check(service: string): Promise<boolean> {
    const running = this.running.get(service);
    if (running) return running;
    const check = this.probeSeveral(service);
    this.running.set(service, check);
    try {
      return await check;
    } finally {
      this.running.delete(service);
    }
  }

  /** Whether no endpoint besides one accepts a connection either, of whatever service it is. */
  async isCutOffBesides({ endpointId }: KnownBackEnd): Promise<boolean> {
    const others = this.kernel
      .get(Deployment)
      .listAll()
      .filter((other) => other.endpointId !== endpointId && other.leavingSinceMs === undefined);
    if (others.length < REACH_OPTIONS.minEndpointsOfCut) return false;
    const chosen = chooseSome(others, REACH_OPTIONS.maxProbedEndpoints, Math.random);
    const accepted = chosen.map(async ({ address }) => {
      if ((await probeEndpoint(address)) !== 'accepted') throw new Error('not accepted');
    });
    return Promise.any(accepted).then(
      () => false,
      () => true,
    );
  }

  /** Runs until the signal aborts. */
  async watch(signal: AbortSignal): Promise<void> {
    const { clock } = this.kernel;
    while (!signal.aborted) {
      await clock.sleep(FORWARDING_OPTIONS.reachIntervalMs, signal);
      if (signal.aborted) return;
      await Promise.all(this.listServices().map(async (service) => this.look(service)));
    }
  }

  private async look(service: string): Promise<void> {
    const { isReached, lastReachedMs } = this.getReach(service);
    const quietMs = this.kernel.clock.nowMs() - lastReachedMs;
    if (!isReached) {
      await this.probe(service, REACH_OPTIONS.maxProbedToRegain, false);
      return;
    }
    if (quietMs < FORWARDING_OPTIONS.quietIntervalMs) return;
    if ((await this.probe(service, 1, false)).accepted > 0) return;
    await this.check(service);
  }

  private async probeSeveral(service: string): Promise<boolean> {
    const { maxProbedEndpoints, maxProbedInDoubt } = REACH_OPTIONS;
    const isSmall = this.list(service).length <= maxProbedEndpoints;
    const first = await this.probe(service, maxProbedEndpoints, isSmall);
    if (first.accepted > 0 || isSmall) return first.accepted > 0;
    return (await this.probe(service, maxProbedInDoubt, true)).accepted > 0;
  }

  /** @param isFull whether the round may show that no endpoint accepts. */
  private async probe(service: string, count: number, isFull: boolean): Promise<ProbeRound> {
    const known = this.list(service);
    const chosen = chooseSome(known, count, Math.random);
    const outcomes = await Promise.all(chosen.map(async ({ address }) => probeEndpoint(address)));
    const round = {
      isFull,
      probed: chosen.length,
      accepted: outcomes.filter((outcome) => outcome === 'accepted').length,
    };
    this.record(service, round, known.length);
    return round;
  }

  private record(service: string, round: ProbeRound, endpoints: number): void {
    const { clock, log } = this.kernel;
    const before = this.getReach(service);
    const after = updateReach(before, round, clock.nowMs());
    this.services.set(service, after);
    if (after.isReached === before.isReached) return;
    const sinceMs = Math.round(clock.nowMs() - before.lastReachedMs);
    const { probed, accepted } = round;
    const fields = { service, endpoints, probed, accepted, notReachedForMs: sinceMs };
    if (after.isReached) log.info('endpoints reached again', fields);
    else log.warn('no endpoint reached', fields);
    this.notifyChanged();
  }

  private forget(service: string): void {
    const wasReached = this.reaches(service);
    this.services.delete(service);
    if (!wasReached) this.notifyChanged();
  }

  private notifyChanged(): void {
    this.changeCount += 1;
    this.listeners.forEach((listener) => listener());
  }

  private getReach(service: string): ServiceReach {
    const startedAtMs = this.kernel.clock.nowMs();
    return this.services.get(service) ?? { isReached: true, lastReachedMs: startedAtMs };
  }

  private list(service: string): ReadonlyArray<KnownBackEnd> {
    return this.kernel.get(Deployment).listAssignable(service);
  }

  /** Services with endpoints, and those that were lost and have none any more. */
  private listServices(): ReadonlyArray<string> {
    const listed = this.kernel.get(Deployment).listAll();
    const withEndpoints = new Set(listed.map(({ service }) => service));
    [...this.services.keys()]
      .filter((service) => !withEndpoints.has(service))
      .forEach((service) => this.forget(service));
    withEndpoints.forEach((service) => this.services.set(service, this.getReach(service)));
    return [...withEndpoints];
  }
}
