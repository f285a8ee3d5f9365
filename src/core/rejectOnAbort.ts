/**
 * Bounds the wait for a promise that doesn't know the signal of its caller.
 */

/** Settles as the promise does, or rejects if the signal aborts first. @public */
export async function rejectOnAbort<T>(promise: Promise<T>, signal: AbortSignal): Promise<T> {
  let stop = (): void => {};
  const aborted = new Promise<never>((_resolve, reject) => {
    stop = () => reject(new Error('The wait was aborted.', { cause: signal.reason }));
    signal.addEventListener('abort', stop);
  });
  if (signal.aborted) stop();
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', stop);
  }
}
