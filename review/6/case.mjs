/**
 * Streams with bodies of 100,000 bytes run on an engine that leaves as planned. Every engine that runs
 * such a request must get the body that the client sent.
 */
/* eslint-disable import-x/extensions, no-await-in-loop -- modules of Node.js whose steps follow each other */
import { Buffer } from 'node:buffer';
import { setTimeout as sleep } from 'node:timers/promises';
import { call, generationHeaders } from '../lib-2/callers.mjs';
import { createConfiguration } from '../lib-2/configuration.mjs';
import { Engine } from '../lib-2/Engine.mjs';
import { TROUBLE } from '../lib-2/names.mjs';
import { hash } from '../lib-2/Record.mjs';
import { runCase } from '../lib-2/runCase.mjs';

/** Well below `limits.maxBodyBytes`, 4,194,304. */
const BODY_BYTES = 100_000;
const SMALL_BODY_BYTES = 2_600;
const STREAMS = 12;
/** One of six leaves: a share of 0.17. */
const ENGINES = 6;
const EVENTS = 60;

await runCase(import.meta.dirname, async ({ record, store, deployment }) => {
  const engines = [];
  for (let index = 0; index < ENGINES; index += 1) {
    const id = `i-7f3a91c${index}`;
    const engine = new Engine(record, { id, service: 'vane-writers', events: EVENTS });
    await engine.start();
    engine.register(store);
    engines.push(engine);
  }
  store.put('op/config', createConfiguration());
  await deployment.addNodes(2);
  await sleep(1_000);
  const bodyHashes = new Map();
  const answers = Array.from({ length: STREAMS }, async (_each, index) => {
    const isSmall = index % 4 === 3;
    const body = Buffer.alloc(isSmall ? SMALL_BODY_BYTES : BODY_BYTES, `text ${index} `);
    const node = deployment.nodes[index % deployment.nodes.length];
    const answer = await call(node.listen.front, '/summary/2f', {
      method: 'POST',
      body,
      headers: generationHeaders(),
      deadlineMs: 39_000,
      onId: (id) => {
        bodyHashes.set(id, hash(body));
        record.write('client sends', { id, bodyBytes: body.length, bodyHash: hash(body) });
      },
    });
    const { id, status, end, text } = answer;
    const events = (text.match(/^id: /gm) ?? []).length;
    record.write('client gets', { id, status, end, events });
    return answer;
  });
  await sleep(1_000);
  if (TROUBLE) {
    const leaving = engines.find(({ executed }) =>
      executed.some(({ bodyBytes }) => bodyBytes === BODY_BYTES),
    );
    leaving.isLeaving = true;
    leaving.register(store);
    record.write('the store acknowledges that an engine is draining', { id: leaving.options.id });
  }
  const ends = await Promise.all(answers);
  if (!TROUBLE && ends.some(({ status, end }) => status !== 200 || end !== 'complete')) {
    throw new Error('A stream was not served without the disruption.');
  }
  const changed = engines
    .flatMap(({ executed }) => executed)
    .filter(({ id, bodyHash }) => bodyHashes.get(id) !== bodyHash);
  changed.forEach(({ id, bodyBytes, from }) =>
    record.write('UNASKED: an engine ran a request with its body changed', { id, bodyBytes, from }),
  );
  return changed.length === 0;
});
