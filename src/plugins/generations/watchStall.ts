/**
 * Watches one generation for silence of its engine: records stalls as decisions, and replaces a
 * connection that stays silent.
 */
import { match } from 'ts-pattern';
import type { Clock, EndpointReport } from '../../core';
import type { DecisionLog, GenerationRequest } from '../../services';
import type { EngineReader } from './EngineReader';
import type { GenerationOptions } from './options';
import type { StreamMeter } from './StreamMeter';

/** @internal */
export interface StallWatchParameters {
  readonly clock: Clock;
  readonly options: GenerationOptions;
  readonly decisions: DecisionLog;
  readonly reader: EngineReader;
  readonly meter: StreamMeter;
  readonly requestInfo: Pick<GenerationRequest, 'requestId' | 'inForce'> & {
    readonly kindOfWork: string;
    readonly clause: string | undefined;
  };
}

function explainSilence(report: EndpointReport | undefined): string {
  return match(report)
    .with(undefined, () => 'and its load is not known')
    .when(
      (known) => known !== undefined && known.waiting > 0,
      () => 'while other work waits at it for memory',
    )
    .otherwise(() => 'although it reports no waiting work');
}

function recordStall({ decisions, requestInfo, reader, meter }: StallWatchParameters): void {
  const report = meter.findRecentReport();
  const { endpointId } = reader.endpoint;
  const awaited = meter.tokenCount === 0 ? 'first token' : 'token';
  decisions.record({
    requestId: requestInfo.requestId,
    customer: requestInfo.inForce.contract.customer,
    kindOfWork: requestInfo.kindOfWork,
    contractRevision: requestInfo.inForce.revision,
    clause: requestInfo.clause,
    step: 'slow',
    chosen: endpointId,
    reason: `${endpointId} has not sent the next ${awaited} ${explainSilence(report)}`,
    measured: {
      silentMs: Math.round(meter.getSilentMs()),
      tokens: meter.tokenCount,
      ...(report && {
        engineRunning: report.running,
        engineWaiting: report.waiting,
        enginePreemptions: report.preemptions,
      }),
    },
  });
}

/** Runs until the signal aborts. @internal */
export async function watchStall(watch: StallWatchParameters, ended: AbortSignal): Promise<void> {
  const { clock, options, reader, meter } = watch;
  let recordedAtToken = -1;
  let recorded = 0;
  let replacedAfterMs = 0;
  while (!ended.aborted) {
    const thresholdMs =
      meter.tokenCount === 0 ? options.firstTokenThresholdMs : options.stallThresholdMs;
    const silentMs = meter.getSilentMs();
    if (silentMs < thresholdMs) {
      replacedAfterMs = 0;
    } else if (recordedAtToken !== meter.tokenCount && recorded < options.maxStallDecisions) {
      recordStall(watch);
      recordedAtToken = meter.tokenCount;
      recorded += 1;
    }
    const timeoutMs = meter.findRecentReport()
      ? options.idleTimeoutWithReportMs
      : options.idleTimeoutMs;
    if (silentMs - replacedAfterMs >= timeoutMs) {
      replacedAfterMs = silentMs;
      reader.replaceConnection();
    }
    await clock.sleep(silentMs < thresholdMs ? thresholdMs - silentMs : thresholdMs, ended);
  }
}
