import * as fc from 'fast-check';
import { BufferedBody, StreamedBody, type SendableBody } from './CallerBody';
import { HeldMemory, type HeldPart } from './HeldMemory';
import { FORWARDING_OPTIONS } from './options';
import type { BodyContent } from './SentBody';

const BLOCK_BYTES = FORWARDING_OPTIONS.keptBodyBlockBytes;

const FIRST = Buffer.from('the first part, ');
const REST = [Buffer.from('the second '), Buffer.from('and the third')];
const WHOLE = Buffer.concat([FIRST, ...REST]).toString();

async function* toIterable(chunks: ReadonlyArray<Uint8Array>): AsyncGenerator<Uint8Array> {
  yield* chunks;
}

async function readAll(content: BodyContent): Promise<string> {
  if (content === undefined) return '';
  if (content instanceof Uint8Array) return Buffer.from(content).toString('latin1');
  const chunks: Uint8Array[] = [];
  for await (const chunk of content) chunks.push(chunk);
  return Buffer.concat(chunks).toString('latin1');
}

async function send(body: SendableBody | undefined): Promise<string | undefined> {
  if (!body) return undefined;
  try {
    return await readAll(body.open());
  } finally {
    body.release();
  }
}

function createBody(memory = new HeldMemory(10 * BLOCK_BYTES, 0, 0)): StreamedBody {
  const held = memory.reserve(0) as HeldPart;
  return new StreamedBody(FIRST, toIterable(REST), (onReclaimed) =>
    held.createReclaimable(onReclaimed),
  );
}

// Guards against a second attempt with what the first one has left of the body.
test('each attempt gets the whole body', async () => {
  const body = createBody();
  expect([body.isArriving, body.isKept]).toEqual([true, false]);
  expect(await send(body.take())).toBe(WHOLE);
  expect([body.isArriving, body.isKept]).toEqual([false, true]);
  expect(await send(body.take())).toBe(WHOLE);
  expect(await send(body.keep())).toBe(WHOLE);
});

test('a buffered body is sent any number of times', async () => {
  const body = new BufferedBody(FIRST);
  expect([await send(body.take()), await send(body.keep())]).toEqual([`${FIRST}`, `${FIRST}`]);
  expect(new BufferedBody(Buffer.alloc(0)).take().open()).toBeUndefined();
});

// Guards against two attempts that share what arrives of a body.
test('a body that is being read is not sent again', async () => {
  const body = createBody();
  const first = body.take();
  expect([body.take(), body.keep()]).toEqual([undefined, undefined]);
  const chunks = (first?.open() as AsyncIterable<Uint8Array>)[Symbol.asyncIterator]();
  await chunks.next();
  first?.release();
  expect([body.take(), body.keep()]).toEqual([undefined, undefined]);
});

// Guards against a body that counts as used up though its endpoint was never reached.
test('an attempt that has read nothing leaves the body', async () => {
  const body = createBody();
  const first = body.take();
  first?.open();
  first?.release();
  expect(await send(body.take())).toBe(WHOLE);
});

// Guards against a part of a body that is sent as the whole one.
test('an attempt that stops reading leaves nothing to send', async () => {
  const body = createBody();
  const first = body.take();
  for await (const chunk of first?.open() as AsyncIterable<Uint8Array>) {
    if (chunk.length > 0) break;
  }
  first?.release();
  expect([body.isArriving, body.isKept]).toEqual([false, false]);
  expect([body.take(), body.keep()]).toEqual([undefined, undefined]);
});

// Guards against a body that the node keeps without memory for it, and against an attempt that is
// broken off for that.
test('a body without memory is sent once', async () => {
  const body = createBody(new HeldMemory(BLOCK_BYTES - 1, 0, 0));
  expect(await send(body.take())).toBe(WHOLE);
  expect([body.isArriving, body.isKept]).toEqual([false, false]);
  expect(body.take()).toBeUndefined();
});

// Guards against new requests that are refused because bodies are kept.
test('a kept body gives way to a request', async () => {
  const memory = new HeldMemory(BLOCK_BYTES, 0, 0);
  const body = createBody(memory);
  await send(body.take());
  expect(memory.reclaimableBytes).toBe(BLOCK_BYTES);
  expect(memory.reserve(1)).toBeDefined();
  expect([body.isKept, memory.reclaimableBytes]).toEqual([false, 0]);
});

// Guards against a run that was stopped to be moved and whose body is gone then.
test('a body that is needed does not give way', async () => {
  const memory = new HeldMemory(BLOCK_BYTES, 0, 0);
  const body = createBody(memory);
  await send(body.take());
  const kept = body.keep();
  const shared = kept?.share();
  kept?.release();
  kept?.release();
  expect(memory.reserve(1)).toBeUndefined();
  expect(await send(shared)).toBe(WHOLE);
  expect(memory.reserve(1)).toBeDefined();
});

// Guards against an attempt that loses its body because its outcome was known before it had read it.
test('a body does not give way while it is read', async () => {
  const memory = new HeldMemory(BLOCK_BYTES, 0, 0);
  const body = createBody(memory);
  await send(body.take());
  const kept = body.keep();
  const chunks = (kept?.open() as AsyncIterable<Uint8Array>)[Symbol.asyncIterator]();
  const { value } = (await chunks.next()) as IteratorYieldResult<Uint8Array>;
  kept?.release();
  expect(memory.reserve(1)).toBeUndefined();
  expect(Buffer.from(value).toString()).toBe(WHOLE);
  await chunks.next();
  expect(memory.reserve(1)).toBeDefined();
});

type Step = 'take' | 'keep' | 'read' | 'abandon' | 'release' | 'need memory';

interface OpenSend {
  readonly body: SendableBody;
  readonly chunks: AsyncIterator<Uint8Array>;
  received: Buffer;
}

/** Plays steps on a body; returns what each attempt that has ended has received. */
async function play(
  chunks: ReadonlyArray<Uint8Array>,
  memoryBlocks: number,
  steps: ReadonlyArray<readonly [Step, number]>,
): Promise<ReadonlyArray<Buffer>> {
  const memory = new HeldMemory(memoryBlocks * BLOCK_BYTES, 0, 0);
  const held = memory.reserve(0) as HeldPart;
  const body = new StreamedBody(chunks[0] as Uint8Array, toIterable(chunks.slice(1)), (reclaim) =>
    held.createReclaimable(reclaim),
  );
  const sends: OpenSend[] = [];
  const ended: Buffer[] = [];
  const open = (sendable: SendableBody | undefined): void => {
    if (!sendable) return;
    const content = sendable.open() as AsyncIterable<Uint8Array>;
    sends.push({
      body: sendable,
      chunks: content[Symbol.asyncIterator](),
      received: Buffer.alloc(0),
    });
  };
  for (const [step, choice] of steps) {
    const index = sends.length === 0 ? undefined : choice % sends.length;
    const chosen = index === undefined ? undefined : sends[index];
    if (step === 'take') open(body.take());
    if (step === 'keep') open(body.keep());
    if (step === 'need memory') memory.reserve(choice)?.release();
    if (step === 'release') chosen?.body.release();
    if (step === 'abandon') await chosen?.chunks.return?.();
    if (step === 'read' && chosen && index !== undefined) {
      // An attempt may fail, for example since another one reads the body; then it doesn't end.
      const next = await chosen.chunks.next().catch(() => undefined);
      if (next && !next.done) {
        chosen.received = Buffer.concat([chosen.received, next.value]);
      } else {
        chosen.body.release();
        sends.splice(index, 1);
        if (next) ended.push(chosen.received);
      }
    }
    if (step === 'abandon' && index !== undefined) sends.splice(index, 1);
  }
  return ended;
}

// Guards against an attempt that ends with a part of the body, in any order of attempts, ends and
// shortage of memory.
test('an attempt that ends has sent the whole body', async () => {
  const size = fc.integer({ min: 1, max: 2 * BLOCK_BYTES });
  const step = fc.constantFrom<Step>('take', 'keep', 'read', 'abandon', 'release', 'need memory');
  const steps = fc.array(
    fc.tuple(
      fc.oneof({ weight: 3, arbitrary: fc.constant<Step>('read') }, { weight: 2, arbitrary: step }),
      fc.nat(3 * BLOCK_BYTES),
    ),
    { maxLength: 60 },
  );
  await fc.assert(
    fc.asyncProperty(
      fc.array(size, { minLength: 1, maxLength: 6 }),
      fc.integer({ min: 0, max: 12 }),
      steps,
      async (sizesBytes, memoryBlocks, played) => {
        const chunks = sizesBytes.map((sizeBytes, index) =>
          Buffer.alloc(sizeBytes, `chunk ${index} `),
        );
        const whole = Buffer.concat(chunks);
        const ended = await play(chunks, memoryBlocks, [['take', 0], ...played]);
        ended.forEach((received) => expect(received.equals(whole)).toBe(true));
      },
    ),
    { seed: 47, numRuns: 500 },
  );
});
