/** Metrics of one run as callers and operators see them, by kind of work. */
import { build, type Histogram } from 'hdr-histogram-js';
import { BENCH_OPTIONS } from './options';

/** The histograms hold integers; microseconds keep gaps of a few milliseconds exact. */
const US_PER_MS = 1_000;

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: BENCH_OPTIONS.maxRecordedMs * US_PER_MS,
    numberOfSignificantValueDigits: 3,
    bitBucketSize: 32,
    useWebAssembly: false,
  });
}

function record(histogram: Histogram, valueMs: number): void {
  histogram.recordValue(Math.min(valueMs, BENCH_OPTIONS.maxRecordedMs) * US_PER_MS);
}

function read(histogram: Histogram, percentile: number): number {
  return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS;
}

/** Figures of one run by column name. */
export type RunFigures = Readonly<Record<string, number>>;

export class RunMetrics {
  private readonly gaps = createHistogram();

  private readonly reportGaps = createHistogram();

  private readonly firstTokens = createHistogram();

  private readonly reportStalls = createHistogram();

  private readonly waits = createHistogram();

  private readonly counts = new Map<string, number>();

  count(name: string, by = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + by);
  }

  recordGap(gapMs: number, isReport: boolean): void {
    record(this.gaps, gapMs);
    if (isReport) record(this.reportGaps, gapMs);
  }

  recordFirstToken(delayMs: number): void {
    record(this.firstTokens, delayMs);
  }

  recordWait(waitMs: number): void {
    record(this.waits, waitMs);
  }

  recordStall(stallMs: number, isReport: boolean): void {
    this.count(isReport ? 'reportStallMs' : 'otherStallMs', stallMs);
    if (isReport) record(this.reportStalls, stallMs);
  }

  getFigures(): RunFigures {
    const get = (name: string): number => this.counts.get(name) ?? 0;
    return {
      reportStallS: get('reportStallMs') / 1_000,
      reportStallP99Ms: read(this.reportStalls, 99),
      otherStallS: get('otherStallMs') / 1_000,
      reportPreemptions: get('reportPreemptions'),
      otherPreemptions: get('otherPreemptions'),
      gapP50Ms: read(this.gaps, 50),
      gapP95Ms: read(this.gaps, 95),
      gapP99Ms: read(this.gaps, 99),
      firstTokenP95Ms: read(this.firstTokens, 95),
      waitP95Ms: read(this.waits, 95),
      finishedKTokens: get('finishedTokens') / 1_000,
      finishedReports: get('finishedReports'),
      finishedOthers: get('finishedOthers'),
      refusedReports: get('refusedReports'),
      refusedOthers: get('refusedOthers'),
      lost: get('lost'),
      linkMB: get('linkBytes') / 1_000_000,
    };
  }
}
