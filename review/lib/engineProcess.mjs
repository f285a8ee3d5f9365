/**
 * Stand-in of a model engine as a process of its own: `node engineProcess.mjs ID HOST PORT`. Its
 * answers are streams without a length and without chunks, which end with their connection.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { once } from 'node:events';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

/** As on the sheets: an event of a stream holds 4 tokens, and a step takes 7 ms. */
const TOKENS_PER_EVENT = 4;
const EVENT_MS = 28;

const FIRST_EVENT_MS = 150;

const [id, host, port] = process.argv.slice(2);

async function stream(requestId, events, response) {
  const answer = response;
  answer.useChunkedEncodingByDefault = false;
  answer.shouldKeepAlive = false;
  answer.writeHead(200, {
    'X-Bramleyvane-Request-Id': requestId,
    'X-Bramleyvane-Server-Seal': `seal.${id}`,
    'X-Bramleyvane-Weight-Versions': '1',
    'Content-Type': 'text/event-stream',
  });
  for (let event = 1; event <= events && !answer.destroyed; event += 1) {
    answer.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
    process.send({ requestId, event, events });
    // eslint-disable-next-line no-await-in-loop
    await sleep(EVENT_MS);
  }
  answer.end();
}

const running = new Set();

/** Answers an order to move a run: it isn't here, or the other engine has no room for it. */
async function move(request, response) {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  await once(request, 'end');
  const order = JSON.parse(Buffer.concat(chunks).toString());
  response.writeHead(running.has(order.id) ? 503 : 404, { 'Content-Type': 'application/json' });
  response.end('{}');
}

const server = createServer(async (request, response) => {
  const { headers } = request;
  if (request.url === '/api/kv-move') {
    await move(request, response);
    return;
  }
  const requestId = headers['x-bramleyvane-request-id'];
  request.resume();
  await once(request, 'end');
  if (headers['x-bramleyvane-expect-instance'] !== id) {
    response.writeHead(421, { 'X-Bramleyvane-Request-Id': requestId }).end();
    return;
  }
  // This engine has no room for copies of the runs of others.
  if (headers['kv-from'] !== undefined) {
    response
      .writeHead(503, { 'X-Bramleyvane-Request-Id': requestId, 'X-Bramleyvane-Not-Executed': '1' })
      .end();
    return;
  }
  const outputTokens = Number(headers['x-bramleyvane-token-usage'].split(',')[1]);
  process.send({ requestId, event: 0, events: outputTokens / TOKENS_PER_EVENT });
  running.add(requestId);
  await sleep(FIRST_EVENT_MS);
  await stream(requestId, outputTokens / TOKENS_PER_EVENT, response);
  running.delete(requestId);
});
server.listen(Number(port), host, () => process.send({ port: server.address().port }));
