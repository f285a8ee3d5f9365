/** Runs scenarios on a pool of worker threads; the results keep the order of the scenarios. */
import { Worker } from 'node:worker_threads';
import type { RunFigures } from './RunMetrics';
import { BENCH_OPTIONS } from './options';
import type { Scenario } from './simulate';

async function runOnce(worker: Worker, scenario: Scenario): Promise<RunFigures> {
  return new Promise((resolve, reject) => {
    worker.removeAllListeners();
    worker.once('message', resolve);
    worker.once('error', reject);
    worker.postMessage(scenario);
  });
}

/** @param file bundle that, run as a worker, replies to each scenario with its figures. */
export async function runPool(
  file: string,
  scenarios: ReadonlyArray<Scenario>,
): Promise<ReadonlyArray<RunFigures>> {
  const figures: RunFigures[] = [];
  const queue = scenarios.map((scenario, index) => ({ scenario, index })).reverse();
  const runWorker = async (): Promise<void> => {
    const worker = new Worker(file);
    for (let next = queue.pop(); next; next = queue.pop()) {
      figures[next.index] = await runOnce(worker, next.scenario);
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: BENCH_OPTIONS.workers }, runWorker));
  return figures;
}
