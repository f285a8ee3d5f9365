/**
 * Client of the system: discovers node addresses, resumes interrupted streams and retries calls.
 */
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import { parseEventStream } from '../wire';

const addressesSchema = z.object({ addresses: z.array(z.object({ url: z.string() })) });
const issuedKeySchema = z.object({ key: z.string() });

const chunkSchema = z.object({
  choices: z.array(
    z.object({
      delta: z.object({ content: z.string().optional() }).optional(),
      text: z.string().optional(),
    }),
  ),
});

const problemSchema = z.object({
  kind: z.string(),
  run: z.string(),
  reason: z.string(),
  detail: z.string().optional(),
  requestId: z.string().optional(),
});
export type CallerProblem = z.infer<typeof problemSchema>;

/** Response of a node to a call. @internal */
export interface CallerResponse {
  readonly status: number;
  readonly requestId: string;
  readonly body: string;
  readonly problem?: CallerProblem;
}

/** What has been received of a stream so far. @internal */
export interface StreamProgress {
  readonly text: string;
  readonly tokens: number;
  readonly resumes: number;
}

/** Final state of a stream. @internal */
export interface StreamResult extends StreamProgress {
  readonly requestId: string;
  readonly isComplete: boolean;
  readonly problem?: CallerProblem;
}

/** Limits on resuming and retrying. */
const CALLER_OPTIONS = {
  maxResumes: 5,
  maxAttempts: 4,
  retryDelayMs: 300,
} as const;

const END_OF_STREAM = '[DONE]';

function parseProblem(text: string): CallerProblem | undefined {
  try {
    const result = problemSchema.safeParse(JSON.parse(text));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}

async function pause(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, CALLER_OPTIONS.retryDelayMs);
  });
}

/** @internal */
export class CallerClient {
  private addresses: ReadonlyArray<string>;

  constructor(
    seedUrls: ReadonlyArray<string>,
    private readonly apiKey: string,
  ) {
    this.addresses = seedUrls;
  }

  /** Asks the known addresses in turn which to use, and prefers those of the first valid response. */
  async discoverAddresses(): Promise<ReadonlyArray<string>> {
    for (const url of this.addresses) {
      try {
        const response = await request(new URL('/v1/entry', url), { headers: this.headers });
        const parsed = addressesSchema.safeParse(await response.body.json());
        if (parsed.success && parsed.data.addresses.length > 0) {
          const fresh = parsed.data.addresses.map((address) => address.url);
          this.addresses = [...fresh, ...this.addresses.filter((known) => !fresh.includes(known))];
          break;
        }
      } catch {
        // The next address may respond.
      }
    }
    return this.addresses;
  }

  /** Calls a service, with retries; `key` makes retries of a call that may run only once safe. */
  async callService(
    service: string,
    path: string,
    kindOfWork: string,
    body: string,
    key?: string,
  ): Promise<CallerResponse> {
    const headers = {
      ...this.headers,
      'content-type': 'application/json',
      'x-kind-of-work': kindOfWork,
      ...(key ? { 'idempotency-key': key } : {}),
    };
    let lastError: unknown;
    for (let attempt = 0; attempt < CALLER_OPTIONS.maxAttempts; attempt++) {
      const url = this.addresses[attempt % this.addresses.length] ?? '';
      try {
        const target = new URL(`/v1/services/${service}${path}`, url);
        const response = await request(target, { method: 'POST', headers, body });
        return await this.parseResponse(response);
      } catch (thrown) {
        lastError = thrown;
        await pause();
      }
    }
    throw lastError;
  }

  async issueKey(kindOfWork: string): Promise<string> {
    const response = await request(new URL('/v1/operations', this.addresses[0]), {
      method: 'POST',
      headers: { ...this.headers, 'content-type': 'application/json' },
      body: JSON.stringify({ kindOfWork }),
    });
    return issuedKeySchema.parse(await response.body.json()).key;
  }

  /** Streams a generation, and resumes it at the next address when the stream breaks. */
  async generate(
    body: Readonly<Record<string, unknown>>,
    kindOfWork: string | undefined,
    onProgress: (progress: StreamProgress) => void,
  ): Promise<StreamResult> {
    let result: StreamResult = {
      text: '',
      tokens: 0,
      resumes: 0,
      requestId: '',
      isComplete: false,
    };
    let lastEventId: string | undefined;
    for (let attempt = 0; attempt <= CALLER_OPTIONS.maxResumes; attempt++) {
      const url = this.addresses[attempt % this.addresses.length] ?? '';
      try {
        const response = await this.openStream(url, body, kindOfWork, lastEventId);
        const requestId = String(response.headers['x-request-id'] ?? '');
        result = { ...result, requestId: result.requestId || requestId, resumes: attempt };
        if (response.statusCode !== 200) {
          return { ...result, problem: parseProblem(await response.body.text()) };
        }
        for await (const event of parseEventStream(response.body)) {
          if (event.data === END_OF_STREAM) return { ...result, isComplete: true };
          if (event.event === 'error') return { ...result, problem: parseProblem(event.data) };
          lastEventId = event.id ?? lastEventId;
          result = this.appendChunk(result, event.data);
          onProgress(result);
        }
      } catch {
        if (!lastEventId) await this.discoverAddresses();
      }
      await pause();
    }
    return result;
  }

  private get headers(): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.apiKey}` };
  }

  private appendChunk(result: StreamResult, data: string): StreamResult {
    const chunk = chunkSchema.safeParse(JSON.parse(data));
    const [choice] = chunk.success ? chunk.data.choices : [];
    const text = choice?.delta?.content ?? choice?.text ?? '';
    if (text === '') return result;
    return { ...result, text: result.text + text, tokens: result.tokens + 1 };
  }

  private async openStream(
    url: string,
    body: Readonly<Record<string, unknown>>,
    kindOfWork: string | undefined,
    lastEventId: string | undefined,
  ): Promise<Dispatcher.ResponseData> {
    if (lastEventId) {
      const token = lastEventId.slice(0, lastEventId.lastIndexOf('.'));
      return request(new URL(`/v1/generations/${token}`, url), {
        headers: { ...this.headers, 'last-event-id': lastEventId },
      });
    }
    return request(new URL('/v1/chat/completions', url), {
      method: 'POST',
      headers: {
        ...this.headers,
        'content-type': 'application/json',
        ...(kindOfWork ? { 'x-kind-of-work': kindOfWork } : {}),
      },
      body: JSON.stringify({ ...body, stream: true }),
    });
  }

  private async parseResponse(response: Dispatcher.ResponseData): Promise<CallerResponse> {
    const body = await response.body.text();
    const isProblem = String(response.headers['content-type']).includes('problem+json');
    return {
      status: response.statusCode,
      requestId: String(response.headers['x-request-id'] ?? ''),
      body,
      problem: isProblem ? parseProblem(body) : undefined,
    };
  }
}
