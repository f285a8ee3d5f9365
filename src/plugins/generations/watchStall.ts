/**
 * Watches one generation for silence of its engine: records a stall, and gives up a connection that
 * stays silent.
 */
import { match } from 'ts-pattern';
import type { Clock, EndpointReport } from '../../core';
import type { DecisionLog, GenerationRequest } from '../../services';
import type { EngineReader } from './EngineReader';
import type { GenerationOptions } from './options';
import type { StreamMeter } from './StreamMeter';

/** @internal */
export interface StallWatch {
  readonly clock: Clock;
  readonly options: GenerationOptions;
  readonly decisions: DecisionLog;
  readonly reader: EngineReader;
  readonly meter: StreamMeter;
  readonly about: Pick<GenerationRequest, 'requestId' | 'inForce'> & {
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

function recordStall({ decisions, about, reader, meter }: StallWatch): void {
  const report = meter.findReport();
  const { endpointId } = reader.endpoint;
  const due = meter.tokenCount === 0 ? 'first token' : 'token';
  decisions.record({
    requestId: about.requestId,
    customer: about.inForce.contract.customer,
    kindOfWork: about.kindOfWork,
    contractRevision: about.inForce.revision,
    clause: about.clause,
    step: 'slow',
    chosen: endpointId,
    reason: `${endpointId} has not sent the next ${due} ${explainSilence(report)}`,
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
export async function watchStall(watch: StallWatch, ended: AbortSignal): Promise<void> {
  const { clock, options, reader, meter } = watch;
  let recordedAtToken = -1;
  let recorded = 0;
  let brokenAfterMs = 0;
  while (!ended.aborted) {
    const reportMs = meter.tokenCount === 0 ? options.firstTokenReportMs : options.stallReportMs;
    const silentMs = meter.getSilentMs();
    if (silentMs < reportMs) {
      brokenAfterMs = 0;
    } else if (recordedAtToken !== meter.tokenCount && recorded < options.maxStallDecisions) {
      recordStall(watch);
      recordedAtToken = meter.tokenCount;
      recorded += 1;
    }
    const limitMs = meter.findReport() ? options.silenceMaxWithReportMs : options.silenceMaxMs;
    if (silentMs - brokenAfterMs >= limitMs) {
      brokenAfterMs = silentMs;
      reader.breakConnection();
    }
    await clock.sleep(silentMs < reportMs ? reportMs - silentMs : reportMs, ended);
  }
}
