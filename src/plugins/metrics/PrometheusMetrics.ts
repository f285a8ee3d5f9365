/**
 * Measures of the service in the Prometheus text format.
 *
 * Each kernel has a registry of its own, because several kernels can run in one process.
 */
import { collectDefaultMetrics, Counter, Histogram, Registry } from 'prom-client';
import { ServingMetrics, type MetricLabels } from '../../services';
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

  private readonly preemptions = new Counter({
    name: 'bramleyvane_preemptions_total',
    help: 'Stalls during which the engine reported a preemption.',
    labelNames: LABEL_NAMES,
    registers: [this.registry],
  });

  private readonly answers = new Counter({
    name: 'bramleyvane_answers_total',
    help: 'Answers by outcome.',
    labelNames: [...LABEL_NAMES, 'outcome'] as const,
    registers: [this.registry],
  });

  constructor() {
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

  async render(): Promise<{ readonly contentType: string; readonly text: string }> {
    return { contentType: this.registry.contentType, text: await this.registry.metrics() };
  }

  /** Drops the metrics of a kernel that has been disposed of. */
  close(): void {
    this.registry.clear();
  }

  private createHistogram(
    name: string,
    help: string,
    buckets: ReadonlyArray<number>,
  ): LabelledHistogram {
    return new LabelledHistogram(this.registry, name, help, buckets);
  }
}
