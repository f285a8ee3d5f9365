import type { GaugeReading } from '../../services';
import { PrometheusMetrics } from './PrometheusMetrics';

const labels = { customer: 'recup-audits', kindOfWork: 'audit-summary' };
const series = 'customer="recup-audits",kind_of_work="audit-summary"';

// Guards against milliseconds in metrics named in seconds, and against lost labels.
test('renders seconds by customer and kind of work', async () => {
  const metrics = new PrometheusMetrics();
  metrics.observeFirstToken(labels, 1_400);
  metrics.observeTokenGap(labels, 55);
  metrics.observeStall(labels, 3_000);
  metrics.observeWait(labels, 20);
  metrics.countPreemption(labels);
  metrics.countAnswer(labels, 'complete');
  const { text, contentType } = await metrics.render();
  expect(contentType).toContain('text/plain');
  expect(text).toContain(`bramleyvane_first_token_seconds_sum{${series}} 1.4`);
  expect(text).toContain(`bramleyvane_token_gap_seconds_bucket{le="0.055",${series}} 1`);
  expect(text).toContain(`bramleyvane_stall_seconds_sum{${series}} 3`);
  expect(text).toContain(`bramleyvane_wait_seconds_count{${series}} 1`);
  expect(text).toContain(`bramleyvane_preemptions_total{${series}} 1`);
  expect(text).toContain(`bramleyvane_answers_total{${series},outcome="complete"} 1`);
  expect(text).toContain('process_cpu_seconds_total');
  metrics.close();
});

// Guards against kernels of one process that share a registry.
test('keeps registries separate', async () => {
  const [first, second] = [new PrometheusMetrics(), new PrometheusMetrics()];
  first.countAnswer(labels, 'complete');
  expect((await second.render()).text).not.toContain(series);
  first.close();
  second.close();
});

// Guards against outcomes that are counted together, and against names without the total suffix.
test('counts refusals, attempts, continuations and source calls by outcome', async () => {
  const metrics = new PrometheusMetrics();
  metrics.countRefusal('unknown-key');
  metrics.countAttempt('writers', 'shed');
  metrics.countContinuation('from-copy');
  metrics.countSourceCall('failed');
  const { text } = await metrics.render();
  expect(text).toContain('bramleyvane_refusals_total{kind="unknown-key"} 1');
  expect(text).toContain('bramleyvane_attempts_total{service="writers",outcome="shed"} 1');
  expect(text).toContain('bramleyvane_continuations_total{outcome="from-copy"} 1');
  expect(text).toContain('bramleyvane_source_calls_total{outcome="failed"} 1');
  metrics.close();
});

// Guards against gauges that still render a series without a reading.
test('reads gauges at each rendering', async () => {
  let readings: ReadonlyArray<GaugeReading> = [
    { name: 'endpoints', help: 'By service.', value: 2, labels: { service: 'writers' } },
    { name: 'age_seconds', help: 'Unknown.', value: Infinity },
  ];
  const metrics = new PrometheusMetrics(() => readings);
  const { text } = await metrics.render();
  expect(text).toContain('bramleyvane_endpoints{service="writers"} 2');
  expect(text).toContain('bramleyvane_age_seconds +Inf');
  readings = [];
  expect((await metrics.render()).text).not.toContain('bramleyvane_endpoints{service="writers"}');
  metrics.close();
});
