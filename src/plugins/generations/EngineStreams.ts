/**
 * Passes the streams of engines on to callers, each at the pace of its caller, and knows which of them
 * are being read.
 *
 * A new generation and one that is taken up again differ only in their reader.
 */
import type { GenerationId } from '../../core';
import type { Kernel } from '../../kernel';
import {
  DecisionLog,
  Fleet,
  ServingMetrics,
  type FleetEndpoint,
  type GenerationReceiver,
  type MetricLabels,
} from '../../services';
import type { EngineClient } from './EngineClient';
import type { EngineReader, ReaderParameters } from './EngineReader';
import { formatEventId } from './generationToken';
import type { GenerationOptions } from './options';
import { StreamMeter } from './StreamMeter';
import { watchStall, type StallWatchParameters } from './watchStall';

/** @internal */
export interface RelayParameters {
  readonly reader: EngineReader;
  readonly receiver: GenerationReceiver;
  readonly meter: StreamMeter;
  readonly token: string;
  readonly requestInfo: StallWatchParameters['requestInfo'];
  readonly onToken: (outputTokens: number) => void;
}

/** @internal */
export class EngineStreams {
  private readonly activeReaders = new Set<EngineReader>();

  private readonly fleet: Fleet;

  private readonly decisions: DecisionLog;

  constructor(
    private readonly kernel: Kernel,
    private readonly client: EngineClient,
    private readonly options: GenerationOptions,
  ) {
    this.fleet = kernel.get(Fleet);
    this.decisions = kernel.get(DecisionLog);
  }

  /** Undefined without the plug-in for metrics. */
  get metrics(): ServingMetrics | undefined {
    return this.kernel.getAll(ServingMetrics)[0];
  }

  createReaderParameters(
    endpoint: FleetEndpoint,
    generationId: GenerationId,
    receiver: GenerationReceiver,
  ): ReaderParameters {
    const { client, options } = this;
    const { clock } = this.kernel;
    return {
      client,
      clock,
      options,
      endpoint,
      generationId,
      disconnectSignal: receiver.disconnectSignal,
    };
  }

  createMeter(
    endpoint: FleetEndpoint,
    labels: MetricLabels,
    arrivedAtMs: number | undefined,
  ): StreamMeter {
    const { fleet, metrics, options } = this;
    const { clock } = this.kernel;
    return new StreamMeter({ clock, options, metrics, labels, fleet, endpoint, arrivedAtMs });
  }

  /** Relays the events of one generation to its caller, at the caller's pace. */
  async relay(relay: RelayParameters): Promise<void> {
    const { reader, receiver, meter, token, onToken } = relay;
    const ended = new AbortController();
    const { clock } = this.kernel;
    const watch: StallWatchParameters = {
      ...relay,
      clock,
      options: this.options,
      decisions: this.decisions,
    };
    this.activeReaders.add(reader);
    void watchStall(watch, ended.signal);
    receiver.begin(token);
    try {
      for await (const event of reader.read()) {
        meter.recordToken();
        onToken(meter.tokenCount);
        if (!receiver.disconnectSignal.aborted) {
          const eventId = formatEventId(token, event.position);
          const drained = receiver.write({ eventId, data: event.data });
          if (drained) await drained;
        }
        meter.startWaiting();
      }
    } finally {
      ended.abort();
      meter.finish();
      this.activeReaders.delete(reader);
    }
  }

  stopAll(): void {
    this.activeReaders.forEach((reader) => reader.stop());
  }
}
