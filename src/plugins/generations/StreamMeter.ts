/**
 * Measures one generation: time to first token, gaps between tokens, stalls and preemptions.
 *
 * Only time spent waiting for the engine counts; time spent waiting for a slow caller does not.
 */
import type { Clock, EndpointReport } from '../../core';
import type { Fleet, FleetEndpoint, MetricLabels, ServingMetrics } from '../../services';
import type { GenerationOptions } from './options';

/** @internal */
export interface MeterParameters {
  readonly clock: Clock;
  readonly options: GenerationOptions;
  readonly metrics: ServingMetrics | undefined;
  readonly labels: MetricLabels;
  readonly fleet: Fleet;
  readonly endpoint: FleetEndpoint;
  /** Arrival of the request; undefined for a resume, whose first token was measured before. */
  readonly arrivedAtMs: number | undefined;
}

/** @internal */
export class StreamMeter {
  private tokens = 0;

  private stallMs = 0;

  /** Undefined while waiting for the caller instead of the engine. */
  private waitingSinceMs: number | undefined;

  private preemptionsBefore: number | undefined;

  private pendingStall:
    { readonly preemptionsBefore: number; readonly deadlineMs: number } | undefined;

  constructor(private readonly parameters: MeterParameters) {
    this.waitingSinceMs = parameters.clock.nowMs();
    this.preemptionsBefore = this.findRecentReport()?.preemptions;
  }

  get tokenCount(): number {
    return this.tokens;
  }

  getSilentMs(): number {
    return this.waitingSinceMs === undefined
      ? 0
      : this.parameters.clock.nowMs() - this.waitingSinceMs;
  }

  /** Returns the engine's report if it is recent enough to show that the engine is alive. */
  findRecentReport(): EndpointReport | undefined {
    const { fleet, endpoint, options } = this.parameters;
    const found = fleet.findEndpoint(endpoint.endpointId);
    return found && found.reportAgeMs <= options.maxReportAgeMs ? found.report : undefined;
  }

  recordToken(): void {
    const { clock, metrics, labels, options, arrivedAtMs } = this.parameters;
    const gapMs = this.getSilentMs();
    if (this.tokens > 0) metrics?.observeTokenGap(labels, gapMs);
    else if (arrivedAtMs !== undefined) {
      metrics?.observeFirstToken(labels, clock.nowMs() - arrivedAtMs);
    }
    if (this.tokens > 0 && gapMs >= options.stallThresholdMs) this.recordStall(gapMs);
    if (this.pendingStall) this.resolveStall(this.pendingStall);
    this.tokens += 1;
    this.waitingSinceMs = undefined;
  }

  /** Starts waiting for the engine again, once the caller has accepted the token. */
  startWaiting(): void {
    this.waitingSinceMs = this.parameters.clock.nowMs();
  }

  finish(): void {
    if (this.pendingStall) this.resolveStall(this.pendingStall);
    this.parameters.metrics?.observeStall(this.parameters.labels, this.stallMs);
  }

  private recordStall(gapMs: number): void {
    const { clock, options } = this.parameters;
    this.stallMs += gapMs - options.stallThresholdMs;
    if (this.preemptionsBefore === undefined) return;
    this.pendingStall ??= {
      preemptionsBefore: this.preemptionsBefore,
      deadlineMs: clock.nowMs() + options.preemptionReportLagMs,
    };
  }

  /** Counts the stall as a preemption if the engine's preemption counter rose during it. */
  private resolveStall(stall: NonNullable<typeof this.pendingStall>): void {
    const { clock, metrics, labels } = this.parameters;
    const report = this.findRecentReport();
    const isPreempted = (report?.preemptions ?? 0) > stall.preemptionsBefore;
    if (isPreempted) metrics?.countPreemption(labels);
    if (!isPreempted && clock.nowMs() < stall.deadlineMs) return;
    this.preemptionsBefore = report?.preemptions;
    this.pendingStall = undefined;
  }
}
