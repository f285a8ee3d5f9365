/**
 * Waiting for conditions in tests.
 */
import { setTimeout as sleep } from 'node:timers/promises';

/** Pause between two checks; short against everything that a test waits for. */
const CHECK_INTERVAL_MS = 10;

/** Most time for a condition; long, so that a busy machine fails no test. */
const LIMIT_MS = 40_000;

/** Waits until the check gives a value other than undefined, null and false, and returns the value. */
export async function waitUntil<T>(
  what: string,
  check: () => T | Promise<T>,
): Promise<Exclude<T, undefined | null | false>> {
  const deadlineMs = performance.now() + LIMIT_MS;
  for (;;) {
    const value = await check();
    if (value !== undefined && value !== null && value !== false) {
      return value as Exclude<T, undefined | null | false>;
    }
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting: ${what}`);
    await sleep(CHECK_INTERVAL_MS);
  }
}
