import { PrometheusMetrics } from './PrometheusMetrics';

const labels = { customer: 'recup-audits', kindOfWork: 'audit-summary' };
const series = 'customer="recup-audits",kind_of_work="audit-summary"';

// Guards against milliseconds under a name that says seconds, and against lost labels.
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

// Guards against kernels of one process that count into each other's registry.
test('keeps registries apart', async () => {
  const [first, second] = [new PrometheusMetrics(), new PrometheusMetrics()];
  first.countAnswer(labels, 'complete');
  expect((await second.render()).text).not.toContain(series);
  first.close();
  second.close();
});
