/**
 * History of load reports, from which the engine publishes its state with a fixed delay.
 */
import type { EndpointReport } from '../../src/core';

/** Load report of an engine, with the state that orders have set. @public */
export interface EngineReport extends EndpointReport {
  readonly role: string;
  /** Versions of the models that were loaded by an order with a version. */
  readonly versions: Readonly<Record<string, string>>;
}

interface TimedReport {
  readonly report: EngineReport;
  readonly recordedAtMs: number;
}

/** @internal */
export class ReportHistory {
  private reports: ReadonlyArray<TimedReport>;

  constructor(
    first: EngineReport,
    private lagMs: number,
  ) {
    this.reports = [{ report: first, recordedAtMs: -Infinity }];
  }

  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  record(report: EngineReport, nowMs: number): void {
    const visibleIndex = this.findVisibleIndex(nowMs);
    this.reports = [...this.reports.slice(visibleIndex), { report, recordedAtMs: nowMs }];
  }

  get(nowMs: number): EngineReport {
    const [first] = this.reports.slice(this.findVisibleIndex(nowMs));
    if (!first) throw new RangeError('no report has been recorded');
    return first.report;
  }

  private findVisibleIndex(nowMs: number): number {
    const index = this.reports.findLastIndex(
      ({ recordedAtMs }) => recordedAtMs <= nowMs - this.lagMs,
    );
    return Math.max(0, index);
  }
}
