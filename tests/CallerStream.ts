/**
 * Reads a streamed generation as a caller does, from any node.
 */
import { parseEventStream, type StreamEvent } from '../src/wire';
import { API_KEY } from './contracts';
import type { DeployedNode } from './DeployedNode';

/** The events of one generation that the caller has received, over all its connections. */
export class CallerStream {
  private readonly receivedEvents: StreamEvent[] = [];

  private connection = new AbortController();

  /** Generation token, taken from the id of the last event. */
  get token(): string {
    const { lastEventId = '' } = this;
    return lastEventId.slice(0, lastEventId.lastIndexOf('.'));
  }

  get lastEventId(): string | undefined {
    return this.receivedEvents.findLast(({ id }) => id !== undefined)?.id;
  }

  get events(): ReadonlyArray<StreamEvent> {
    return this.receivedEvents;
  }

  get isComplete(): boolean {
    return this.receivedEvents.at(-1)?.data === '[DONE]';
  }

  get tokenCount(): number {
    return this.listTokens().length;
  }

  /** The text of every token event, in the order of arrival. */
  listTokens(): ReadonlyArray<string> {
    return this.receivedEvents
      .filter(({ data, event }) => data !== '[DONE]' && event === undefined)
      .map(({ data }) => this.readContent(data));
  }

  /** Starts a generation and reads until the stream ends or breaks, or the caller disconnects. */
  async start(node: DeployedNode, outputTokens: number, kind = 'audit-summary'): Promise<void> {
    const body = JSON.stringify({
      model: 'summary-1',
      messages: [{ role: 'user', content: 'Summarise the audit of the café.' }],
      stream: true,
      metadata: { output_tokens: String(outputTokens) },
    });
    await this.read(node, '/v1/chat/completions', {
      method: 'POST',
      headers: { 'x-kind-of-work': kind },
      body,
    });
  }

  /** Resumes after the last received event. */
  async resume(node: DeployedNode): Promise<void> {
    const headers = { 'last-event-id': this.lastEventId ?? '' };
    await this.read(node, `/v1/generations/${this.token}`, { headers });
  }

  /** Closes the connection, as a caller does when its node hangs. */
  disconnect(): void {
    this.connection.abort();
  }

  private async read(node: DeployedNode, path: string, init: RequestInit): Promise<void> {
    this.connection = new AbortController();
    try {
      const answer = await node.call(API_KEY, path, { ...init, signal: this.connection.signal });
      if (!answer.ok || !answer.body) throw new Error(`${answer.status}: ${await answer.text()}`);
      for await (const event of parseEventStream(answer.body)) this.receivedEvents.push(event);
    } catch (thrown) {
      // The tests break connections on purpose; only an error answer is a failure.
      if (thrown instanceof Error && /^\d{3}: /.test(thrown.message)) throw thrown;
    }
  }

  private readContent(data: string): string {
    const chunk = JSON.parse(data) as {
      readonly choices: ReadonlyArray<{ readonly delta: { readonly content?: string } }>;
    };
    return chunk.choices[0]?.delta.content ?? '';
  }
}
