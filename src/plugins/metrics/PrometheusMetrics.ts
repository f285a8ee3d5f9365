/**
 * Metrics of the service and the process in the Prometheus text format.
 *
 * Each kernel has a registry of its own, because several kernels can run in one process.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { UnreadableEntry } from '../../core';
import {
  ServingMetrics,
  type AttemptOutcome,
  type QuotaRequestOutcome,
  type ContinuationOutcome,
  type GaugeReading,
  type MetricLabels,
  type PassedRequestOutcome,
  type PromptWaitOutcome,
  type RegionOutcome,
  type SourceCallOutcome,
  type UnansweredCause,
  type WaitOutcome,
} from '../../services';
import { METRICS_OPTIONS } from './options';

const LABEL_NAMES = ['customer', 'kind_of_work'] as const;
const MS_PER_SECOND = 1_000;

type LabelName = (typeof LABEL_NAMES)[number];

/** A histogram in seconds that caches its series for each customer and kind of work. */
class LabelledHistogram {
  private readonly series = new Map<string, Histogram.Internal<LabelName>>();

  private readonly histogram: Histogram<LabelName>;

  constructor(registry: Registry, name: string, help: string, buckets: ReadonlyArray<number>) {
    this.histogram = new Histogram({
      name: `bramleyvane_${name}_seconds`,
      help,
      labelNames: LABEL_NAMES,
      buckets: [...buckets],
      registers: [registry],
    });
  }

  observeMs({ customer, kindOfWork }: MetricLabels, valueMs: number): void {
    const key = `${customer}\n${kindOfWork}`;
    let labelled = this.series.get(key);
    if (!labelled) {
      labelled = this.histogram.labels(customer, kindOfWork);
      this.series.set(key, labelled);
    }
    labelled.observe(valueMs / MS_PER_SECOND);
  }
}

/** @internal */
export class PrometheusMetrics extends ServingMetrics {
  private readonly registry = new Registry();

  private readonly firstToken = this.createHistogram(
    'first_token',
    'Time from the arrival of a request to its first token.',
    METRICS_OPTIONS.firstTokenBucketsSeconds,
  );

  private readonly tokenGap = this.createHistogram(
    'token_gap',
    'Time between two consecutive tokens of a generation.',
    METRICS_OPTIONS.tokenGapBucketsSeconds,
  );

  private readonly stall = this.createHistogram(
    'stall',
    'Total duration of the stalls of one generation.',
    METRICS_OPTIONS.stallBucketsSeconds,
  );

  private readonly wait = this.createHistogram(
    'wait',
    'Time that a request waited for an endpoint.',
    METRICS_OPTIONS.waitBucketsSeconds,
  );

  private readonly waitEnds = this.createCounter(
    'wait_ends',
    'Generations that waited for room, by rank and by how the wait ended.',
    ['rank', 'outcome'],
  );

  private readonly preemptions = this.createCounter(
    'preemptions',
    'Stalls during which the engine reported a preemption.',
    LABEL_NAMES,
  );

  private readonly answers = this.createCounter('answers', 'Answers to callers, by outcome.', [
    ...LABEL_NAMES,
    'outcome',
  ]);

  private readonly refusals = this.createCounter(
    'refusals',
    'Requests refused or failed by this node, by kind of error.',
    ['kind'],
  );

  private readonly passedRequests = this.createCounter(
    'passed_requests',
    'Requests passed to another node while this one reached no endpoint, by outcome.',
    ['service', 'outcome'],
  );

  private readonly attempts = this.createCounter(
    'attempts',
    'Attempts to send a request to an endpoint, by outcome.',
    ['service', 'outcome'],
  );

  private readonly promptWaits = this.createCounter(
    'prompt_waits',
    'Prompts that waited at this node for the prompt work of others, by how the wait ended.',
    ['service', 'outcome'],
  );

  private readonly continuations = this.createCounter(
    'continuations',
    'Streams whose engine was lost or left, by how they continued.',
    ['outcome'],
  );

  private readonly quotaRequests = this.createCounter(
    'quota_requests',
    'Requests placed at endpoints with a quota, and attempts that only quotas kept from one.',
    ['service', 'outcome'],
  );

  private readonly crashLosses = this.createCounter(
    'crash_losses',
    'Requests that a crash of their endpoint ended, by whether their answer had a head.',
    ['service', 'had_head'],
  );

  private readonly unanswered = this.createCounter(
    'unanswered_requests',
    'Requests that would have ended without an answer, by cause.',
    ['cause'],
  );

  private readonly closedConnections = this.createCounter(
    'closed_connections',
    'Connections that were closed or not accepted because of a limit, by listener and limit.',
    ['listener', 'reason'],
  );

  private readonly uncaughtErrors = this.createCounter(
    'uncaught_errors',
    'Errors that nothing caught.',
    [],
  );

  private readonly sourceCalls = this.createCounter(
    'source_calls',
    'Calls of the configuration source, by outcome.',
    ['outcome'],
  );

  private readonly sourceEras = this.createCounter(
    'source_eras',
    'Times that the configuration source came back from an older copy.',
    [],
  );

  private readonly regionConstraints = this.createCounter(
    'region_constrained_choices',
    'Choices of an endpoint for requests whose regions are constrained, by outcome.',
    ['outcome'],
  );

  private readonly unreadableEntries = this.createCounter(
    'unreadable_configuration_entries',
    'Entries of configurations that could not be read, and whole versions.',
    ['part'],
  );

  private readonly gauges = new Map<string, Gauge>();

  /** @param readGauges called for each rendering of the metrics. */
  constructor(private readonly readGauges: () => ReadonlyArray<GaugeReading> = () => []) {
    super();
    collectDefaultMetrics({ register: this.registry });
  }

  observeFirstToken(labels: MetricLabels, delayMs: number): void {
    this.firstToken.observeMs(labels, delayMs);
  }

  observeTokenGap(labels: MetricLabels, gapMs: number): void {
    this.tokenGap.observeMs(labels, gapMs);
  }

  observeStall(labels: MetricLabels, stallMs: number): void {
    this.stall.observeMs(labels, stallMs);
  }

  observeWait(labels: MetricLabels, waitMs: number): void {
    this.wait.observeMs(labels, waitMs);
  }

  countWaitEnd(rank: number, outcome: WaitOutcome): void {
    this.waitEnds.inc({ rank: String(rank), outcome });
  }

  countPreemption({ customer, kindOfWork }: MetricLabels): void {
    this.preemptions.inc({ customer, kind_of_work: kindOfWork });
  }

  countAnswer({ customer, kindOfWork }: MetricLabels, outcome: string): void {
    this.answers.inc({ customer, kind_of_work: kindOfWork, outcome });
  }

  countRefusal(kind: string): void {
    this.refusals.inc({ kind });
  }

  countAttempt(service: string, outcome: AttemptOutcome): void {
    this.attempts.inc({ service, outcome });
  }

  countPassedRequest(service: string, outcome: PassedRequestOutcome): void {
    this.passedRequests.inc({ service, outcome });
  }

  countPromptWait(service: string, outcome: PromptWaitOutcome): void {
    this.promptWaits.inc({ service, outcome });
  }

  countContinuation(outcome: ContinuationOutcome): void {
    this.continuations.inc({ outcome });
  }

  countQuotaRequest(service: string, outcome: QuotaRequestOutcome): void {
    this.quotaRequests.inc({ service, outcome });
  }

  countCrashLoss(service: string, hadHead: boolean): void {
    this.crashLosses.inc({ service, had_head: String(hadHead) });
  }

  countUnanswered(cause: UnansweredCause): void {
    this.unanswered.inc({ cause });
  }

  countClosedConnection(listener: string, reason: string): void {
    this.closedConnections.inc({ listener, reason });
  }

  countUncaughtError(): void {
    this.uncaughtErrors.inc();
  }

  countSourceCall(outcome: SourceCallOutcome): void {
    this.sourceCalls.inc({ outcome });
  }

  countRegionConstraint(outcome: RegionOutcome): void {
    this.regionConstraints.inc({ outcome });
  }

  countSourceEra(): void {
    this.sourceEras.inc();
  }

  countUnreadable(part: UnreadableEntry['part'] | 'version', count: number): void {
    this.unreadableEntries.inc({ part }, count);
  }

  async render(): Promise<{ readonly contentType: string; readonly text: string }> {
    this.setGauges();
    return { contentType: this.registry.contentType, text: await this.registry.metrics() };
  }

  /** Removes all metrics when the kernel is disposed of. */
  close(): void {
    this.registry.clear();
  }

  /** Removes series that have no reading any more, such as those of a removed endpoint. */
  private setGauges(): void {
    this.gauges.forEach((gauge) => gauge.reset());
    this.readGauges().forEach(({ name, help, value, labels = {} }) => {
      const gauge = this.gauges.get(name) ?? this.createGauge(name, help, Object.keys(labels));
      gauge.set(labels, value);
    });
  }

  private createGauge(name: string, help: string, labelNames: string[]): Gauge {
    const registers = [this.registry];
    const gauge = new Gauge({ name: `bramleyvane_${name}`, help, labelNames, registers });
    this.gauges.set(name, gauge);
    return gauge;
  }

  private createCounter<T extends string>(
    name: string,
    help: string,
    labelNames: ReadonlyArray<T>,
  ): Counter<T> {
    const registers = [this.registry];
    return new Counter({ name: `bramleyvane_${name}_total`, help, labelNames, registers });
  }

  private createHistogram(
    name: string,
    help: string,
    buckets: ReadonlyArray<number>,
  ): LabelledHistogram {
    return new LabelledHistogram(this.registry, name, help, buckets);
  }
}
