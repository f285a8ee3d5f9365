/**
 * Stand-in of a caller.
 */
/* eslint-disable import-x/extensions -- modules of Node.js whose steps follow each other */
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { HOST, KEY } from './names.mjs';

let attempts = 0;

export function createRequestId() {
  attempts += 1;
  const random = Math.floor(Math.random() * 2 ** 32).toString(16);
  return `${attempts.toString(16).padStart(8, '0')}${random.padStart(8, '0')}`;
}

/** Headers of a request for a generation. */
export function generationHeaders(prompt = '5c1e07a2:300,91bd3f06:100') {
  return {
    'X-Bramleyvane-Model': 'm',
    'X-Bramleyvane-Token-Usage': '400,2000',
    'X-Bramleyvane-Length-Hint': '400',
    'X-Bramleyvane-Prompt-Prefix': prompt,
  };
}

/** Sends one client attempt on a new connection, and reads its answer to the end. */
export async function call(address, target, options = {}) {
  const { method = 'GET', body, headers = {}, deadlineMs = 8_000, key = KEY, agent } = options;
  const id = options.id ?? createRequestId();
  options.onId?.(id);
  const [host, port] = address.split(':');
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    let text = '';
    let status;
    let answerHeaders = {};
    const finish = (end) => {
      const endedAtMs = performance.now();
      resolve({ id, status, headers: answerHeaders, text, end, sentAtMs, endedAtMs });
    };
    const request = http.request(
      {
        host,
        port,
        method,
        path: target,
        agent: agent ?? new http.Agent(),
        headers: {
          Host: HOST,
          'X-Bramleyvane-Request-Id': id,
          'X-Bramleyvane-Deadline-Ms': String(deadlineMs),
          Authorization: `Token ${key}`,
          ...(body === undefined ? {} : { 'Content-Length': body.length }),
          ...headers,
        },
      },
      (response) => {
        status = response.statusCode;
        answerHeaders = response.headers;
        response.on('data', (data) => {
          text += data.toString('latin1');
          options.onData?.(text);
        });
        response.on('end', () => finish('complete'));
        response.on('error', () => finish('cut'));
      },
    );
    request.on('error', (error) => finish(`closed: ${error.code}`));
    options.onRequest?.(request);
    request.end(body);
  });
}
