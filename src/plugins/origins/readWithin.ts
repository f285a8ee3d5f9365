/**
 * Reads from the source for a stream whose caller waits.
 */
import { ServingError, startDeadline } from '../../core';
import type { Kernel } from '../../kernel';

/** @internal */
export interface ReadLimits {
  readonly timeoutMs: number;
  /** Logged when the read fails. */
  readonly event: string;
}

/** Returns undefined if the read fails or takes too long. @internal */
export async function readWithin<T>(
  kernel: Kernel,
  { timeoutMs, event }: ReadLimits,
  read: (signal: AbortSignal) => Promise<T>,
): Promise<T | undefined> {
  const limit = startDeadline(timeoutMs, kernel.signal);
  try {
    return await read(limit.signal);
  } catch (thrown) {
    kernel.log.warn(event, { cause: ServingError.from(thrown) });
    return undefined;
  } finally {
    limit.stop();
  }
}
