/**
 * What becomes of a generation whose caller goes away, by the contract's `whenCallerLeaves`.
 *
 * `cancel` waits for a grace period, so that a resume on another node comes first; the engine then
 * refuses the cancel and the generation is treated as one to be finished. While the engine goes on,
 * this node reads and drops its tokens, so that the place within the limits and the reservation
 * last as long as the generation.
 */
import { match } from 'ts-pattern';
import type { Clock } from '../../core';
import type { Log } from '../../kernel';
import type { DecisionLog, GenerationRequest } from '../../services';
import type { CancelOutcome } from './EngineClient';
import type { StartingReader } from './EngineReader';
import type { GenerationOptions } from './options';

/** @internal */
export interface DisconnectContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly options: GenerationOptions;
  readonly reader: StartingReader;
  readonly disconnectSignal: AbortSignal;
  /** A drain doesn't wait for a generation without a caller: the engine finishes it by itself. */
  readonly draining: AbortSignal;
  readonly decisions: DecisionLog;
  readonly request: GenerationRequest;
}

/** Resolves when the first of the signals aborts. @internal */
export async function waitForAny(signals: ReadonlyArray<AbortSignal>): Promise<void> {
  const over = new AbortController();
  await new Promise<void>((resolve) => {
    if (signals.some((signal) => signal.aborted)) resolve();
    signals.forEach((signal) =>
      signal.addEventListener('abort', () => resolve(), { once: true, signal: over.signal }),
    );
  });
  over.abort();
}

async function tryCancel({ reader, log }: DisconnectContext): Promise<CancelOutcome> {
  try {
    return await reader.cancelUnlessResumed();
  } catch (thrown) {
    log.warn('cancel failed', { endpoint: reader.endpoint.endpointId, cause: thrown });
    return 'unknown';
  }
}

function recordCancel(
  { decisions, request, reader }: DisconnectContext,
  outcome: CancelOutcome,
): void {
  const reason = match(outcome)
    .with('cancelled', () => 'the caller left, and the contract cancels its generation')
    .with('refused', () => 'the caller left and resumed elsewhere; the engine goes on')
    .with('unknown', () => 'the caller left, but the engine could not be told to cancel')
    .exhaustive();
  decisions.record({
    requestId: request.requestId,
    customer: request.inForce.contract.customer,
    kindOfWork: request.clause.kind.name,
    contractRevision: request.inForce.revision,
    clause: `${request.clause.path}.whenCallerLeaves`,
    step: 'finish',
    chosen: reader.endpoint.endpointId,
    reason,
  });
}

/** Returns when the generation has ended or nothing more is to be done for it. @internal */
export async function handleDisconnect(
  departure: DisconnectContext,
  ended: AbortSignal,
): Promise<void> {
  const { disconnectSignal, clock, draining, options, reader } = departure;
  await waitForAny([disconnectSignal, ended]);
  if (ended.aborted) return;
  if (departure.request.clause.kind.whenCallerLeaves === 'cancel') {
    const cancelAtMs = clock.nowMs() + options.resumeGraceMs;
    await clock.sleep(options.resumeGraceMs, ended);
    if (reader.isComplete) return;
    // The connection may have broken, and the engine still goes on.
    await clock.sleep(cancelAtMs - clock.nowMs(), draining);
    if (draining.aborted) return;
    const outcome = await tryCancel(departure);
    recordCancel(departure, outcome);
    if (outcome === 'cancelled') {
      reader.stop();
      return;
    }
  }
  reader.continueWithoutCaller();
  const timeout = new AbortController();
  await Promise.race([
    clock.sleep(options.maxUnattendedMs, timeout.signal),
    waitForAny([ended, draining]),
  ]);
  timeout.abort();
  reader.stop();
}
