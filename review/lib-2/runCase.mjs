/**
 * Runs a case, and ends the process with the code that tells whether the rule held.
 */
/* eslint-disable import-x/extensions -- modules of Node.js whose steps follow each other */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from './Deployment.mjs';
import { Record } from './Record.mjs';
import { Store } from './Store.mjs';

/** Less than the time that a script may run, so that it can still end its processes. */
const MAX_CASE_MS = 100_000;

/** Runs a case: `body` returns whether the rule held. */
export async function runCase(folder, body) {
  const record = new Record(folder);
  const store = new Store();
  await store.start();
  const deployment = new Deployment(record, store);
  let code = 2;
  const limit = new globalThis.AbortController();
  const stopEarly = async () => {
    await deployment.stop();
    process.exit(2);
  };
  process.once('SIGTERM', stopEarly);
  process.once('SIGINT', stopEarly);
  const expired = sleep(MAX_CASE_MS, undefined, { signal: limit.signal }).then(() => {
    throw new Error('The case took too long.');
  });
  expired.catch(() => {});
  try {
    const hasHeld = await Promise.race([body({ record, store, deployment }), expired]);
    record.write(hasHeld ? 'the rule held' : 'the rule was broken');
    code = hasHeld ? 0 : 1;
  } catch (thrown) {
    record.write('the case could not run', { reason: String(thrown?.stack ?? thrown) });
  } finally {
    limit.abort();
    await deployment.stop();
    store.stop();
  }
  process.exit(code);
}
