/**
 * Measures of the service in the Prometheus text format.
 *
 * Each kernel has a registry of its own, because several kernels can run in one process.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import {
  ServingMetrics,
  type AttemptOutcome,
  type ContinuationOutcome,
  type GaugeReading,
  type MetricLabels,
  type SourceCallOutcome,
} from '../../services';
import { METRICS_OPTIONS } from './options';

const LABEL_NAMES = ['customer', 'kind_of_work'] as const;
const MS_PER_SECOND = 1_000;

type LabelName = (typeof LABEL_NAMES)[number];

/** A histogram in seconds whose series are looked up once for each customer and kind of work. */
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
    const key = `${customer} ${kindOfWork}`;
    let found = this.series.get(key);
    if (!found) {
      found = this.histogram.labels(customer, kindOfWork);
      this.series.set(key, found);
    }
    found.observe(valueMs / MS_PER_SECOND);
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
    'Time between two tokens of a generation.',
    METRICS_OPTIONS.tokenGapBucketsSeconds,
  );

  private readonly stall = this.createHistogram(
    'stall',
    'Sum of the stalls in one generation.',
    METRICS_OPTIONS.stallBucketsSeconds,
  );

  private readonly wait = this.createHistogram(
    'wait',
    'Time that a request waited for its endpoint.',
    METRICS_OPTIONS.waitBucketsSeconds,
  );

  private readonly preemptions = this.createCounter(
    'preemptions',
    'Stalls during which the engine reported a preemption.',
    LABEL_NAMES,
  );

  private readonly answers = this.createCounter('answers', 'Answers by outcome.', [
    ...LABEL_NAMES,
    'outcome',
  ]);

  private readonly refusals = this.createCounter(
    'refusals',
    'Requests refused or failed by this node, by kind of error.',
    ['kind'],
  );

  private readonly attempts = this.createCounter(
    'attempts',
    'Sendings of requests to endpoints by outcome.',
    ['service', 'outcome'],
  );

  private readonly continuations = this.createCounter(
    'continuations',
    'Streams that their engine gave up, by how they went on.',
    ['outcome'],
  );

  private readonly sourceCalls = this.createCounter(
    'source_calls',
    'Calls of the source of the configuration by outcome.',
    ['outcome'],
  );

  private readonly gauges = new Map<string, Gauge>();

  /** @param readGauges called whenever the metrics are asked for. */
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

  countContinuation(outcome: ContinuationOutcome): void {
    this.continuations.inc({ outcome });
  }

  countSourceCall(outcome: SourceCallOutcome): void {
    this.sourceCalls.inc({ outcome });
  }

  async render(): Promise<{ readonly contentType: string; readonly text: string }> {
    this.setGauges();
    return { contentType: this.registry.contentType, text: await this.registry.metrics() };
  }

  /** Drops the metrics of a kernel that has been disposed of. */
  close(): void {
    this.registry.clear();
  }

  /** Series that aren't read any more, such as those of an endpoint that has gone, are dropped. */
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
