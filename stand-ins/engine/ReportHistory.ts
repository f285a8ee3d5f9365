/**
 * Load reports that show the state of some time ago.
 */
import type { EndpointReport } from '../../src/core';

/** What an engine reports of itself, with what orders have changed. @public */
export interface EngineReport extends EndpointReport {
  readonly role: string;
  /** Version of each model that an order has loaded by version. */
  readonly versions: Readonly<Record<string, string>>;
}

interface TimedReport {
  readonly report: EngineReport;
  readonly takenAtMs: number;
}

/** @internal */
export class ReportHistory {
  private reports: ReadonlyArray<TimedReport>;

  constructor(
    first: EngineReport,
    private lagMs: number,
  ) {
    this.reports = [{ report: first, takenAtMs: -Infinity }];
  }

  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  record(report: EngineReport, nowMs: number): void {
    const oldest = this.findIndex(nowMs);
    this.reports = [...this.reports.slice(oldest), { report, takenAtMs: nowMs }];
  }

  get(nowMs: number): EngineReport {
    const [first] = this.reports.slice(this.findIndex(nowMs));
    if (!first) throw new RangeError('a report has always been recorded');
    return first.report;
  }

  private findIndex(nowMs: number): number {
    const index = this.reports.findLastIndex(({ takenAtMs }) => takenAtMs <= nowMs - this.lagMs);
    return Math.max(0, index);
  }
}
