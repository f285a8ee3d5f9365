/* eslint-disable import-x/extensions -- Node.js needs the extension of a module. */
/**
 * The first prompts of a new kind hold a part under which engines crash, followed by a part that sound
 * prompts share. The nodes quarantine the shared part, and refuse the sound prompts.
 */
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from '../lib/client.mjs';
import { addGenerations, createConfiguration, HOST, KEY, runCase } from '../lib/Deployment.mjs';
import { ModelEngine } from '../lib/ModelEngine.mjs';
import { BOUNDS } from '../lib/settings.mjs';
import { Traffic } from '../lib/Traffic.mjs';

/** With TROUBLE=0 the case does the same without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const ENGINES = 6;

const ZONES = ['seq-brisbane', 'seq-goldcoast', 'fnq-cairns'];

const SOUND_PER_SECOND = 5;

const DEADLY_PER_SECOND = 1.5;

const OUTPUT_TOKENS = 160;

/** First part of all prompts. */
const FIRST_PART = ['5c1e07a2', 79];

const OLD_PART = ['91bd3f06', 120];

/** Part that both the deadly and the sound prompts of the new kind hold. */
const NEW_PART = ['e4402b7d', 120];

const DEADLY_PART = ['dead0001', 200];

const SOUND_IN_ITS_PLACE = ['50d00001', 200];

const BEFORE_MS = 8_000;

const SOUND_AFTER_MS = 3_000;

/** Shorter than the 15 s after which a node tries one request with a quarantined part. */
const DEADLY_FOR_MS = 15_000;

const MIN_REQUESTS = 20;

/** A request has begun if an engine has answered it with success. */
function countBegun(answers) {
  return answers.filter(({ status }) => status === 200).length;
}

async function run(deployment) {
  const { record, store } = deployment;
  const engines = Array.from(
    { length: ENGINES },
    (_, index) =>
      new ModelEngine(record, {
        id: `i-7f3a91c${index}`,
        service: 'writers',
        zone: ZONES[index % ZONES.length],
        slots: 24,
        firstEventMs: 150,
        eventMs: 28,
        deadlyPart: DEADLY_PART[0],
        downMs: 3_000,
      }),
  );
  engines.forEach((engine) => {
    const started = engine;
    started.onRestart = () => store.put(`servers/${engine.id}`, engine.createEntry());
  });
  await deployment.start(engines);
  const client = new Client(record, HOST);
  const create = () => new Traffic(deployment, client, KEY, OUTPUT_TOKENS);

  const before = create();
  before.run(SOUND_PER_SECOND, [FIRST_PART, OLD_PART]);
  await sleep(BEFORE_MS);
  before.isRunning = false;
  record.add('the new kind of prompt begins');
  const deadly = create();
  if (hasTrouble) deadly.run(DEADLY_PER_SECOND, [FIRST_PART, DEADLY_PART, NEW_PART]);
  await sleep(SOUND_AFTER_MS);
  const after = create();
  after.run(SOUND_PER_SECOND, [FIRST_PART, SOUND_IN_ITS_PLACE, NEW_PART]);
  await sleep(DEADLY_FOR_MS - SOUND_AFTER_MS);
  deadly.isRunning = false;
  after.isRunning = false;
  const answersBefore = await Promise.all(before.sent);
  const answersAfter = await Promise.all(after.sent);
  client.stop();

  const crashes = engines.flatMap((engine) => engine.crashes).sort((a, b) => a.atMs - b.atMs);
  const last = crashes[Math.min(crashes.length, 5) - 1];
  const sinceMs = last ? last.atMs + 2 * BOUNDS.contactMs : BEFORE_MS;
  const judged = answersAfter.filter(({ sentAtMs }) => sentAtMs > sinceMs);
  const shareBefore = countBegun(answersBefore) / answersBefore.length;
  const share = countBegun(judged) / judged.length;
  const text =
    `${crashes.length} crashes; of ${answersBefore.length} sound prompts before ` +
    `${Math.round(shareBefore * 100)} % began, of ${judged.length} sent ` +
    `2 x contactMs after the crash or later ${Math.round(share * 100)} %`;
  record.add(text);
  if (hasTrouble && crashes.length === 0) throw new Error('No engine crashed.');
  if (judged.length < MIN_REQUESTS) throw new Error('Too few requests to judge.');
  return share < shareBefore / 2 ? [text] : [];
}

await runCase(
  path.dirname(fileURLToPath(import.meta.url)),
  run,
  addGenerations(createConfiguration()),
);
