/**
 * A streamed generation as a caller reads it, on any node.
 */
import { parseEventStream, type StreamEvent } from '../src/wire';
import { API_KEY } from './contracts';
import type { DeployedNode } from './DeployedNode';

/** What the caller has of one generation, over all connections. */
export class CallerStream {
  private readonly receivedEvents: StreamEvent[] = [];

  private leaving = new AbortController();

  /** Token of the generation, from the id of an event. */
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

  /** Reads until the stream ends, breaks, or the caller leaves. */
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

  /** Continues after the last event. */
  async resume(node: DeployedNode): Promise<void> {
    const headers = { 'last-event-id': this.lastEventId ?? '' };
    await this.read(node, `/v1/generations/${this.token}`, { headers });
  }

  /** Ends the connection, as a caller does whose node hangs. */
  disconnect(): void {
    this.leaving.abort();
  }

  private async read(node: DeployedNode, path: string, init: RequestInit): Promise<void> {
    this.leaving = new AbortController();
    try {
      const answer = await node.call(API_KEY, path, { ...init, signal: this.leaving.signal });
      if (!answer.ok || !answer.body) throw new Error(`${answer.status}: ${await answer.text()}`);
      for await (const event of parseEventStream(answer.body)) this.receivedEvents.push(event);
    } catch (thrown) {
      // A connection that breaks is what these tests are about; an answer with an error is not.
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
