/**
 * Keeps a serving process alive after an error that nothing caught.
 *
 * By default, a promise that rejects without a handler, or an error thrown in a callback, ends the
 * process and with it all requests of other callers. The request of such an error is answered at its
 * deadline by the table of requests.
 */
import type { Kernel } from '../kernel';
import { ServingMetrics } from '../services';

/** Logs and counts errors that nothing caught. Called once the node has started. */
export function reportUncaughtErrors(kernel: Kernel): void {
  const report = (cause: unknown): void => {
    kernel.log.error('uncaught error', { cause, stack: cause instanceof Error && cause.stack });
    kernel.getAll(ServingMetrics).forEach((metrics) => metrics.countUncaughtError());
  };
  process.on('unhandledRejection', report);
  process.on('uncaughtException', report);
}
