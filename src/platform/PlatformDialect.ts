/**
 * Requests and answers in the platform's headers.
 */
import { z } from 'zod';
import { callerRequestIdSchema, ServingError, type CallerRequestId } from '../core';
import {
  RequestDialect,
  type AnswerHead,
  type CopyOutcome,
  type DispatchParameters,
  type EngineCall,
  type HeaderList,
  type PromptSize,
  type ServingRequest,
} from '../services';
import { HEADER_NAMES, KEY_SCHEME, PATHS, SYSTEM_HEADERS } from './wireNames';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const MISDIRECTED = 421;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;

class Headers {
  private readonly byName: ReadonlyMap<string, string>;

  constructor(readonly list: HeaderList) {
    this.byName = new Map([...list].reverse().map(([name, value]) => [name.toLowerCase(), value]));
  }

  get(name: string): string | undefined {
    return this.byName.get(name.toLowerCase());
  }

  /** A number of at least 0; undefined for anything else. */
  getNumber(name: string): number | undefined {
    const text = this.get(name)?.trim();
    const value = text ? Number(text) : NaN;
    return Number.isFinite(value) && value >= 0 ? value : undefined;
  }

  /** Without the headers of one connection, also those that `Connection` names. */
  getEndToEnd(): HeaderList {
    const named = (this.get('connection') ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase());
    return this.list.filter(([name]) => {
      const lower = name.toLowerCase();
      return !CONNECTION_HEADERS.has(lower) && !named.includes(lower);
    });
  }
}

/** `prompt tokens,most output tokens`. */
function readPrompt(headers: Headers): PromptSize | undefined {
  const [prompt, output] = (headers.get(HEADER_NAMES.tokenCounts) ?? '').split(',').map(Number);
  if (prompt === undefined || output === undefined) return undefined;
  if (!Number.isFinite(prompt) || !Number.isFinite(output)) return undefined;
  return {
    promptTokens: prompt,
    maxOutputTokens: output,
    expectedOutputTokens: headers.getNumber(HEADER_NAMES.expectedOutput),
  };
}

function readKey(headers: Headers): string | undefined {
  const [scheme, key] = (headers.get(HEADER_NAMES.authorization) ?? '').trim().split(/\s+/);
  return scheme?.toLowerCase() === KEY_SCHEME.toLowerCase() ? key : undefined;
}

const copyAnswerSchema = z.object({
  handle: z.union([z.string(), z.number()]).optional(),
  /** Events made so far, not tokens. */
  created: z.number().optional(),
});

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** @internal */
export class PlatformDialect extends RequestDialect {
  readRequest(
    line: { readonly method: string; readonly target: string },
    list: HeaderList,
  ): ServingRequest {
    const headers = new Headers(list);
    const requestId = callerRequestIdSchema.safeParse(headers.get(HEADER_NAMES.requestId));
    if (!requestId.success) {
      throw new ServingError('malformed-request', { detail: 'The request names no valid id.' });
    }
    return {
      ...line,
      requestId: requestId.data,
      host: headers.get(HEADER_NAMES.host) ?? '',
      apiKey: readKey(headers),
      callerTimeoutMs: headers.getNumber(HEADER_NAMES.remainingMs),
      prompt: readPrompt(headers),
      lastEventId: headers.get(HEADER_NAMES.lastEventId),
      headers: headers.getEndToEnd().filter(([name]) => {
        const lower = name.toLowerCase();
        return !SYSTEM_HEADERS.has(lower) && lower !== 'content-length';
      }),
    };
  }

  writeHeaders({ headers }: ServingRequest, order: DispatchParameters): HeaderList {
    const { customer, lastEventId, continueFrom, backUpTo } = order;
    return [
      ...headers,
      [HEADER_NAMES.remainingMs, String(order.remainingMs)],
      [HEADER_NAMES.expectedEndpoint, order.expectedEndpointId],
      ...(customer === undefined ? [] : [[HEADER_NAMES.customer, customer] as const]),
      ...(lastEventId === undefined ? [] : [[HEADER_NAMES.lastEventId, lastEventId] as const]),
      ...(continueFrom
        ? [[HEADER_NAMES.continueFrom, `${continueFrom.address}/${continueFrom.handle}`] as const]
        : []),
      ...(backUpTo === undefined ? [] : [[HEADER_NAMES.backUpTo, backUpTo] as const]),
    ];
  }

  readAnswer({ requestId }: ServingRequest, status: number, list: HeaderList): AnswerHead {
    const headers = new Headers(list);
    const isNotRun = headers.get(HEADER_NAMES.notRun) !== undefined;
    const isOtherEndpoint = status === MISDIRECTED;
    const answeredId = headers.get(HEADER_NAMES.requestId);
    return {
      status,
      headers: headers.getEndToEnd(),
      // Refusals need not name the request; anything else has to.
      isForRequest:
        answeredId === requestId || (answeredId === undefined && (isNotRun || isOtherEndpoint)),
      isNotRun,
      isOtherEndpoint,
      isSigned: headers.get(HEADER_NAMES.signature) !== undefined,
    };
  }

  writeAnswerHeaders(requestId: CallerRequestId): HeaderList {
    return [[HEADER_NAMES.requestId, requestId]];
  }

  writeCopyOrder(requestId: CallerRequestId, toAddress: string, isLast: boolean): EngineCall {
    const body = JSON.stringify({ id: requestId, to: toAddress, final: isLast });
    return { method: 'POST', target: PATHS.copyRun, body };
  }

  readCopyAnswer(status: number, body: string): CopyOutcome {
    const parsed = copyAnswerSchema.safeParse(parseJson(body));
    const handle = parsed.data?.handle === undefined ? undefined : String(parsed.data.handle);
    if (status === OK && handle !== undefined) {
      return { outcome: 'copied', handle, eventsMade: parsed.data?.created ?? 0 };
    }
    if (status === NOT_FOUND) return { outcome: 'no-such-run' };
    if (status === CONFLICT) return { outcome: 'busy' };
    return { outcome: 'no-room', handle };
  }

  getBackupHandle(requestId: CallerRequestId): string {
    return requestId;
  }
}
