/**
 * Prompts that clients send to all nodes in turn, at random times.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const MS_PER_SECOND = 1_000;

/** Tokens of the last part of a prompt, which belongs to the request alone. */
const OWN_TOKENS = 300;

export class Traffic {
  sent = [];

  count = 0;

  isRunning = true;

  /** @param outputTokens most tokens of each answer. */
  constructor(deployment, client, key, outputTokens) {
    this.deployment = deployment;
    this.client = client;
    this.key = key;
    this.outputTokens = outputTokens;
  }

  /** Sends requests at random times until the traffic is stopped. */
  async run(perSecond, parts) {
    while (this.isRunning) {
      this.send(parts);
      // eslint-disable-next-line no-await-in-loop
      await sleep((-Math.log(1 - Math.random()) * MS_PER_SECOND) / perSecond);
    }
  }

  send(parts) {
    const { nodes } = this.deployment;
    const node = nodes[this.count % nodes.length];
    this.count += 1;
    const own = (0x10_00_00_00 + this.count).toString(16);
    const prefix = [...parts, [own, OWN_TOKENS]];
    const inputTokens = prefix.reduce((sum, [, tokens]) => sum + tokens, 0);
    const sent = this.client.send(node, {
      path: '/audit/a',
      key: this.key,
      body: '{}',
      deadlineMs: 39_000,
      headers: {
        'X-Bramleyvane-Model': 'm',
        'X-Bramleyvane-Token-Usage': `${inputTokens},${this.outputTokens}`,
        'X-Bramleyvane-Length-Hint': String(this.outputTokens),
        'X-Bramleyvane-Prompt-Prefix': prefix.map((part) => part.join(':')).join(','),
      },
    });
    this.sent.push(sent);
  }
}
