/**
 * Abort signals with a timeout and optional parent signals.
 *
 * Used instead of `AbortSignal.any` with `AbortSignal.timeout`. In Node.js 20, `any` holds only
 * weak references, so a timeout signal without other references can be garbage-collected before it
 * fires, and the deadline then never aborts.
 */

/** @public */
export interface Deadline {
  readonly signal: AbortSignal;
  /** Clears the timer; the signal no longer aborts. */
  readonly stop: () => unknown;
}

/** @param parents signals that abort the deadline early. */
export function startDeadline(delayMs: number, ...parents: ReadonlyArray<AbortSignal>): Deadline {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  const timer = setTimeout(abort, Math.max(0, delayMs));
  const stop = (): void => {
    clearTimeout(timer);
    parents.forEach((parent) => parent.removeEventListener('abort', abort));
  };
  controller.signal.addEventListener('abort', stop, { once: true });
  parents.forEach((parent) => parent.addEventListener('abort', abort));
  if (parents.some(({ aborted }) => aborted)) abort();
  return { signal: controller.signal, stop };
}
