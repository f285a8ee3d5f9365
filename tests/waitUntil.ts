/**
 * Waits for conditions in tests.
 */
import { setTimeout as sleep } from 'node:timers/promises';

/** Interval between two checks; short compared with everything that a test waits for. */
const CHECK_INTERVAL_MS = 10;

/** Timeout of a condition; long, so that no test fails because the machine is busy. */
const TIMEOUT_MS = 40_000;

/**
 * Waits until the check returns a value other than undefined, null and false, and returns that
 * value.
 */
export async function waitUntil<T>(
  what: string,
  check: () => T | Promise<T>,
): Promise<Exclude<T, undefined | null | false>> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  for (;;) {
    const value = await check();
    if (value !== undefined && value !== null && value !== false) {
      return value as Exclude<T, undefined | null | false>;
    }
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting for: ${what}`);
    await sleep(CHECK_INTERVAL_MS);
  }
}
