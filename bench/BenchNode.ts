/**
 * Simulated node: the project's router on a simulated fleet, without a decision log, and a task for
 * each request.
 */
import {
  contractSchema,
  ServingError,
  type Contract,
  type EndpointId,
  type EndpointReport,
  type RequestId,
  type Vm,
} from '../src/core';
import { SeededRandom } from '../src/decisions';
import { EndpointRouter } from '../src/plugins/routing/EndpointRouter';
import type { Assignment, DecisionLog, FleetNode, RoutedWork } from '../src/services';
import type { BenchEngine, EngineRun } from './BenchEngine';
import { BenchFleet } from './BenchFleet';
import type { BenchKind, Deployment } from './deployments';
import { EventClock } from './EventClock';
import type { EventLoop } from './EventLoop';
import type { RunMetrics } from './RunMetrics';
import { BENCH_OPTIONS } from './options';
import type { BenchRow } from './rows';
import type { BenchRequest } from './workload';

const NO_DECISION_LOG = { record: () => {} } as unknown as DecisionLog;

export interface BenchNodeParameters {
  readonly loop: EventLoop;
  readonly self: BenchFleet['self'];
  readonly seed: number;
  readonly row: BenchRow;
  readonly deployment: Deployment;
  readonly engines: ReadonlyMap<EndpointId, BenchEngine>;
  readonly vms: ReadonlyArray<Vm>;
  readonly nodes: ReadonlyArray<FleetNode>;
  readonly metrics: RunMetrics;
  /** Aborted at the end of the run. */
  readonly stopSignal: AbortSignal;
  /** Gives all work one priority, so that saturated engines finish the mix that arrives. */
  readonly hasFlatPriority: boolean;
  /** Whether a request is included in the measurement. */
  readonly isMeasured: (request: BenchRequest) => boolean;
}

function createContract({ customer, region }: BenchRequest, { kinds }: Deployment): Contract {
  return contractSchema.parse({
    customer,
    keyHashes: ['0'.repeat(64)],
    homeRegion: region,
    limits: { concurrentGenerations: 100_000, requestsPerSecond: 100_000 },
    kindsOfWork: kinds.map(({ clause }) => clause),
  });
}

function getPreemptionCounter({ isReport }: BenchKind): string {
  return isReport ? 'reportPreemptions' : 'otherPreemptions';
}

function countLinkBytes({ promptTokens }: BenchRequest, outputTokens: number): number {
  const { bytesPerPromptToken, bytesPerTokenEvent } = BENCH_OPTIONS;
  return promptTokens * bytesPerPromptToken + outputTokens * bytesPerTokenEvent;
}

export class BenchNode {
  readonly fleet: BenchFleet;

  private readonly router: EndpointRouter;

  private readonly contracts = new Map<string, Contract>();

  constructor(private readonly parameters: BenchNodeParameters) {
    const { loop, self, seed, row, vms, nodes, stopSignal } = parameters;
    this.fleet = new BenchFleet({ loop, self, engines: vms, nodes });
    this.router = new EndpointRouter({
      fleet: this.fleet,
      decisions: NO_DECISION_LOG,
      clock: new EventClock(loop),
      seed,
      stopSignal,
      policy: row.createPolicy(new SeededRandom(seed)),
    });
  }

  receiveReport(endpointId: EndpointId, report: EndpointReport, ageMs: number): void {
    this.fleet.mergeReports([{ endpointId, report, ageMs }]);
  }

  /** Serves one request from its arrival to its end. */
  async run(request: BenchRequest): Promise<void> {
    const { loop, engines, metrics, stopSignal } = this.parameters;
    const startedAtMs = loop.nowMs;
    let excluded: ReadonlyArray<EndpointId> = [];
    try {
      for (;;) {
        const assignment = await this.router.assign(this.createWork(request, excluded), stopSignal);
        const { endpointId } = assignment.endpoint;
        const engine = engines.get(endpointId) as BenchEngine;
        if (this.isMeasured(request)) metrics.recordWait(loop.nowMs - startedAtMs);
        if (await this.generate(request, assignment, engine, startedAtMs)) return;
        // Whole responses may be retried, and so may work whose engine was lost.
        const mayRetry = request.kind.clause.delivery === 'whole' || !engine.isAlive;
        if (!mayRetry || stopSignal.aborted) return;
        excluded = [...excluded, endpointId];
      }
    } catch (thrown) {
      if (!(thrown instanceof ServingError)) throw thrown;
      // A request that still waits at the end of the run has waited at least this long.
      if (stopSignal.aborted) {
        if (this.isMeasured(request)) metrics.recordFirstToken(loop.nowMs - startedAtMs);
        return;
      }
      this.count(request, request.kind.isReport ? 'refusedReports' : 'refusedOthers');
    }
  }

  /** Runs one generation; false when its engine was lost. */
  private async generate(
    request: BenchRequest,
    assignment: Assignment,
    engine: BenchEngine,
    startedAtMs: number,
  ): Promise<boolean> {
    const { loop, self, metrics, stopSignal, hasFlatPriority } = this.parameters;
    const isOtherRegion = engine.vm.region !== self.region;
    const delayMs = isOtherRegion
      ? BENCH_OPTIONS.otherRegionDelayMs
      : BENCH_OPTIONS.sameRegionDelayMs;
    let lastTokenAtMs: number | undefined;
    let stallMs = 0;
    let tokens = 0;
    const { isReport } = request.kind;
    const isMeasured = this.isMeasured(request);
    const onToken = (): void => {
      tokens += 1;
      if (tokens % BENCH_OPTIONS.progressIntervalTokens === 0) assignment.reportTokens(tokens);
      if (!isMeasured) return;
      if (lastTokenAtMs === undefined) metrics.recordFirstToken(loop.nowMs + delayMs - startedAtMs);
      else {
        const gapMs = loop.nowMs - lastTokenAtMs;
        metrics.recordGap(gapMs, isReport);
        stallMs += Math.max(0, gapMs - BENCH_OPTIONS.stallThresholdMs);
      }
      lastTokenAtMs = loop.nowMs;
    };
    const run: EngineRun = {
      name: request.name,
      model: request.kind.clause.model,
      priority: hasFlatPriority ? 0 : request.kind.clause.rank,
      promptTokens: request.promptTokens,
      prefix: { hash: request.prefixHash, tokens: request.kind.prefixTokens },
      outputTokens: request.outputTokens,
      maxOutputTokens: request.kind.clause.maxOutputTokens,
      onToken,
      onPreempted: () => this.count(request, getPreemptionCounter(request.kind)),
    };
    const isComplete = await engine.generate(run, loop.nowMs + delayMs);
    assignment.release({ complete: isComplete, outputTokens: tokens });
    if (isMeasured) {
      // An interrupted generation is recorded with the gap in which it was interrupted.
      if (!isComplete && lastTokenAtMs === undefined) {
        metrics.recordFirstToken(loop.nowMs - startedAtMs);
      } else if (!isComplete && lastTokenAtMs !== undefined) {
        stallMs += Math.max(0, loop.nowMs - lastTokenAtMs - BENCH_OPTIONS.stallThresholdMs);
      }
      metrics.recordStall(stallMs, isReport);
      if (isOtherRegion) metrics.count('linkBytes', countLinkBytes(request, tokens));
    }
    if (isComplete) this.countFinished(request, startedAtMs);
    else if (isMeasured && tokens > 0 && !stopSignal.aborted) metrics.count('lost');
    return isComplete;
  }

  private countFinished(request: BenchRequest, startedAtMs: number): void {
    const { metrics, loop, deployment } = this.parameters;
    const endMs = BENCH_OPTIONS.warmUpMs + deployment.measureMs;
    if (loop.nowMs < BENCH_OPTIONS.warmUpMs || loop.nowMs > endMs) return;
    // Counts all work that ends in the window, whenever it arrived, as in a steady state.
    if (startedAtMs < 0) return;
    metrics.count('finishedTokens', request.outputTokens);
    metrics.count(request.kind.isReport ? 'finishedReports' : 'finishedOthers');
  }

  private isMeasured(request: BenchRequest): boolean {
    return this.parameters.isMeasured(request);
  }

  private count(request: BenchRequest, name: string): void {
    if (this.isMeasured(request)) this.parameters.metrics.count(name);
  }

  private createWork(request: BenchRequest, excluded: ReadonlyArray<EndpointId>): RoutedWork {
    const { deployment } = this.parameters;
    const contract = this.contracts.get(request.customer) ?? createContract(request, deployment);
    this.contracts.set(request.customer, contract);
    const index = deployment.kinds.indexOf(request.kind);
    return {
      requestId: request.name as RequestId,
      inForce: { contract, revision: 1 },
      clause: { kind: request.kind.clause, path: `kindsOfWork[${index}]` },
      promptTokens: request.promptTokens,
      prefixHash: request.prefixHash,
      excluded,
    };
  }
}
