/**
 * Decides whether an endpoint's report differs enough from the last one sent to be sent again.
 */
import type { EndpointReport } from '../core';

/** @public */
export interface ReportChangeLimits {
  /** Change of the memory in use above which a report is sent, as a share of the total memory. */
  readonly memoryShare: number;
  /** Change of running or waiting requests above which a report is sent, as a share and a count. */
  readonly requestShare: number;
  readonly requestCount: number;
}

/** Whether the change must be sent at once and to every region. */
export function isUrgentChange(earlier: EndpointReport | undefined, now: EndpointReport): boolean {
  return now.leaving !== (earlier?.leaving ?? false);
}

function hasSameModels(a: ReadonlyArray<string>, b: ReadonlyArray<string>): boolean {
  return a.length === b.length && a.every((model, index) => model === b[index]);
}

export function isReportChanged(
  earlier: EndpointReport,
  now: EndpointReport,
  { memoryShare, requestShare, requestCount }: ReportChangeLimits,
): boolean {
  const hasChanged = (before: number, after: number): boolean =>
    Math.abs(after - before) > Math.max(requestCount, before * requestShare);
  return (
    earlier.leaving !== now.leaving ||
    earlier.memoryTotalTokens !== now.memoryTotalTokens ||
    earlier.preemptions !== now.preemptions ||
    Math.abs(now.memoryUsedTokens - earlier.memoryUsedTokens) >
      now.memoryTotalTokens * memoryShare ||
    hasChanged(earlier.running, now.running) ||
    hasChanged(earlier.waiting, now.waiting) ||
    // An engine that starts or stops queueing matters more than the length of its queue.
    (earlier.waiting === 0) !== (now.waiting === 0) ||
    !hasSameModels(earlier.models, now.models)
  );
}
