/**
 * Runs one node until it is told to stop.
 */
import { SystemClock, type Settings } from '../core';
import { Kernel, Log } from '../kernel';

const SIGNAL_EXIT_BASE = 128;
const SIGINT_NUMBER = 2;

/** Drains on SIGTERM or SIGINT and returns when the last request has ended. */
export async function serve(settings: Settings): Promise<void> {
  const log = new Log({ level: settings.logLevel, fields: { vmId: settings.vmId } });
  const kernel = new Kernel({ settings, clock: new SystemClock(), log });
  const stopRequest = new Promise<void>((resolve) => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => {
      // A second interrupt comes from a person at a terminal who doesn't want to wait.
      if (kernel.state === 'draining') process.exit(SIGNAL_EXIT_BASE + SIGINT_NUMBER);
      resolve();
    });
  });
  await kernel.start();
  await stopRequest;
  await kernel.drain();
  await kernel.dispose();
}
