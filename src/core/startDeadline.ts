/**
 * Signals that abort at a time or with another signal.
 *
 * `AbortSignal.any` keeps only weak references: a signal of `AbortSignal.timeout` that is known to
 * nothing else can be collected before its time, and then the deadline never comes (Node.js 20).
 */

/** @public */
export interface Deadline {
  readonly signal: AbortSignal;
  /** Ends the timer; the signal doesn't abort any more. */
  readonly stop: () => unknown;
}

/** @param parents signals with which the deadline aborts early. */
export function startDeadline(delayMs: number, ...parents: ReadonlyArray<AbortSignal>): Deadline {
  const controller = new AbortController();
  const listening = new AbortController();
  const stop = (): void => {
    // Also drops the listeners on the parents.
    listening.abort();
  };
  const abort = (): void => {
    controller.abort();
    stop();
  };
  const timer = setTimeout(abort, Math.max(0, delayMs));
  listening.signal.addEventListener('abort', () => {
    clearTimeout(timer);
  });
  parents.forEach((parent) => {
    if (parent.aborted) abort();
    else parent.addEventListener('abort', abort, { once: true, signal: listening.signal });
  });
  return { signal: controller.signal, stop };
}
