/* eslint-disable import-x/extensions -- Node.js needs the extension of a module. */
/**
 * An engine leaves while the platform's store is down. Its answers say so (`Server-Leaving`), and the
 * nodes pass them on; later than `drainMs` after that, the nodes still send it requests, until it
 * exits under them.
 */
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from '../lib/client.mjs';
import { HOST, KEY, runCase } from '../lib/Deployment.mjs';
import { Service } from '../lib/Service.mjs';
import { BOUNDS } from '../lib/settings.mjs';

/** With TROUBLE=0 the case does the same without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

/** Largest duration of `platform_down` in the site file. */
const OUTAGE_MS = 4_500;

/** The engine starts to leave so long after the begin of the outage. */
const LEAVES_AFTER_MS = 200;

/** How much longer than `drainMs` the engine serves; the pages name up to many seconds. */
const LONGER_MS = 800;

/** Within the work of a call in the site file (mean 30 to 43 ms, at most 220 ms). */
const WORK_MS = 150;

const PAUSE_MS = 50;

/** Sends credits to each node in turn until a time, each without waiting for the one before. */
async function sendUntil(deployment, client, untilMs, sent) {
  const { record, nodes } = deployment;
  for (let count = 0; record.nowMs < untilMs; count += 1) {
    const node = nodes[count % nodes.length];
    sent.push(client.send(node, { path: '/credit/a', key: KEY, body: 'credit=1' }));
    // eslint-disable-next-line no-await-in-loop
    await sleep(PAUSE_MS);
  }
}

/**
 * Returns the requests that a client sent later than `drainMs` after the node had passed on an answer
 * of the leaving engine, and that the engine got from that node.
 */
function findBreaches({ record }, answers, leaving) {
  const saidAtMs = new Map();
  [...answers]
    .sort((a, b) => a.answeredAtMs - b.answeredAtMs)
    .filter(({ headers }) => headers['server-leaving'] !== undefined)
    .forEach(({ node, answeredAtMs }) => {
      if (!saidAtMs.has(node)) saidAtMs.set(node, answeredAtMs);
    });
  saidAtMs.forEach((atMs, node) =>
    record.add(`${node} first passed on Server-Leaving at ${(atMs / 1_000).toFixed(3)} s`),
  );
  const arrived = new Set(leaving.arrivals.map(({ requestId }) => requestId));
  return answers
    .filter(({ requestId }) => arrived.has(requestId))
    .map((answer) => ({ ...answer, lateMs: answer.sentAtMs - saidAtMs.get(answer.node) }))
    .filter(({ lateMs }) => lateMs > BOUNDS.drainMs)
    .map(
      ({ requestId, node, lateMs, status }) =>
        `${leaving.id} got ${requestId} from ${node}, sent ${Math.round(lateMs)} ms after that node` +
        ` had passed on Server-Leaving; the client got ${status}`,
    );
}

async function run(deployment) {
  const { record, store } = deployment;
  const engines = ['i-7f3a91c2', 'i-02d9e6b4'].map(
    (id) => new Service(record, { id, service: 'ledger', zone: 'seq-brisbane', workMs: WORK_MS }),
  );
  await deployment.start(engines);
  const [leaving] = engines;
  const client = new Client(record, HOST);
  const sent = [];
  await sendUntil(deployment, client, record.nowMs + 1_000, sent);

  const beganAtMs = record.nowMs;
  if (hasTrouble) store.setDown(true);
  const traffic = sendUntil(deployment, client, beganAtMs + OUTAGE_MS + 1_500, sent);
  await sleep(LEAVES_AFTER_MS);
  record.add(`engine ${leaving.id}: leaves, and says so in its answers; its entry is removed`);
  leaving.isLeaving = true;
  store.remove(`servers/${leaving.id}`);
  await sleep(BOUNDS.drainMs + LONGER_MS);
  leaving.exit();
  await sleep(beganAtMs + OUTAGE_MS - record.nowMs);
  if (hasTrouble) store.setDown(false);
  await traffic;
  const answers = await Promise.all(sent);
  client.stop();

  const counts = new Map();
  answers.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
  record.add(`statuses: ${[...counts].map(([status, count]) => `${status}: ${count}`).join(', ')}`);
  if (!leaving.arrivals.some(({ atMs }) => atMs > beganAtMs)) {
    throw new Error('The leaving engine got no request that it could answer.');
  }
  return findBreaches(deployment, answers, leaving);
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), run);
