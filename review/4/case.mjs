/* eslint-disable import-x/extensions -- Node.js needs the extension of a module. */
/**
 * A new version of the configuration takes a key away and adds a tenant whose name has an underscore.
 * The nodes ignore the whole version, and go on accepting the key.
 */
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from '../lib/client.mjs';
import { createConfiguration, HOST, KEY, runCase } from '../lib/Deployment.mjs';
import { Service } from '../lib/Service.mjs';
import { BOUNDS } from '../lib/settings.mjs';

/** With TROUBLE=0 the case does the same without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const OTHER_KEY = 'wsjnbanfqasnmgkcuyj8';

/** An ordinary header value, as `X-Bramleyvane-Tenant` needs; the pages name no other limit. */
const NEW_TENANT = { name: 'cafe_gympie', apiKeys: ['q0r2hm5kz8tbw1n4'], priority: 2 };

const PAUSE_MS = 100;

/** How long requests with the key are sent once it must not be accepted any more. */
const CHECKED_FOR_MS = 3_000;

const FIRST = createConfiguration({
  version: 7,
  tenants: [{ name: 'huka270', apiKeys: [KEY, OTHER_KEY], priority: 1 }],
});

async function sendToAll(deployment, client, key) {
  return Promise.all(
    deployment.nodes.map((node) => client.send(node, { path: '/credit/a', key, body: 'credit=1' })),
  );
}

async function run(deployment) {
  const { record, store } = deployment;
  const engine = new Service(record, {
    id: 'i-7f3a91c2',
    service: 'ledger',
    zone: 'seq-brisbane',
    workMs: 40,
  });
  await deployment.start([engine]);
  const client = new Client(record, HOST);
  const before = await sendToAll(deployment, client, KEY);
  if (before.some(({ status }) => status !== 200)) throw new Error('The key was not accepted.');

  const tenants = [{ name: 'huka270', apiKeys: [OTHER_KEY], priority: 1 }];
  store.put('op/config', {
    ...FIRST,
    version: 9,
    tenants: hasTrouble ? [...tenants, NEW_TENANT] : tenants,
  });
  const acknowledgedAtMs = record.nowMs;
  record.add(`version 9 is acknowledged; the key ${KEY} is taken away`);
  await sleep(BOUNDS.revokeMs + PAUSE_MS);

  const sent = [];
  while (record.nowMs < acknowledgedAtMs + BOUNDS.revokeMs + CHECKED_FOR_MS) {
    // eslint-disable-next-line no-await-in-loop
    sent.push(...(await sendToAll(deployment, client, KEY)));
    // eslint-disable-next-line no-await-in-loop
    await sleep(PAUSE_MS);
  }
  await sendToAll(deployment, client, OTHER_KEY);
  if (hasTrouble) {
    const added = await sendToAll(deployment, client, NEW_TENANT.apiKeys[0]);
    record.add(`statuses for the key of the new tenant: ${added.map(({ status }) => status)}`);
  }
  client.stop();
  const ran = new Set(engine.arrivals.map(({ requestId }) => requestId));
  const ranCount = sent.filter(({ requestId }) => ran.has(requestId)).length;
  record.add(`${ranCount} of ${sent.length} requests with the key that was taken away ran`);
  return sent
    .filter(({ requestId }) => ran.has(requestId))
    .map(
      ({ requestId, node, sentAtMs }) =>
        `${requestId} ran through ${node}, sent ${Math.round(sentAtMs - acknowledgedAtMs)} ms after ` +
        'the acknowledgement of the version that took its key away',
    );
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), run, FIRST);
