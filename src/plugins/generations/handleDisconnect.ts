/**
 * Cancels or continues a generation whose caller has disconnected, by the contract's
 * `whenCallerLeaves`.
 *
 * `cancel` takes effect after a grace period, in which the caller can resume on another node; the
 * engine then refuses the cancel, and the generation continues as with `finish`. While the engine
 * continues, this node reads and discards its tokens, so that the limit slot and the reservation
 * are held for as long as the generation runs.
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
  /** Aborted by a drain, which leaves a generation without a caller to its engine to finish. */
  readonly draining: AbortSignal;
  readonly decisions: DecisionLog;
  readonly request: GenerationRequest;
}

/** Resolves when the first of the signals aborts. @internal */
export async function waitForAny(signals: ReadonlyArray<AbortSignal>): Promise<void> {
  const settled = new AbortController();
  await new Promise<void>((resolve) => {
    if (signals.some((signal) => signal.aborted)) resolve();
    signals.forEach((signal) =>
      signal.addEventListener('abort', () => resolve(), { once: true, signal: settled.signal }),
    );
  });
  settled.abort();
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
    .with('refused', () => 'the caller left and resumed elsewhere; the engine continues')
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

/** Returns when the generation has ended or needs no further handling. @internal */
export async function handleDisconnect(
  context: DisconnectContext,
  ended: AbortSignal,
): Promise<void> {
  const { disconnectSignal, clock, draining, options, reader } = context;
  await waitForAny([disconnectSignal, ended]);
  if (ended.aborted) return;
  if (context.request.clause.kind.whenCallerLeaves === 'cancel') {
    const cancelAtMs = clock.nowMs() + options.resumeGraceMs;
    await clock.sleep(options.resumeGraceMs, ended);
    if (reader.isComplete) return;
    // `ended` may mean that only the connection broke while the engine continues.
    await clock.sleep(cancelAtMs - clock.nowMs(), draining);
    if (draining.aborted) return;
    const outcome = await tryCancel(context);
    recordCancel(context, outcome);
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
