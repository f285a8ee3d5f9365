/**
 * Encodes and decodes requests and responses in the platform's headers.
 */
import { isUtf8 } from 'node:buffer';
import * as z from 'zod';
import {
  callerRequestIdSchema,
  promptPartIdSchema,
  ServingError,
  type CallerRequestId,
  type PromptPart,
} from '../core';
import {
  RequestDialect,
  type AnswerHead,
  type CopyOutcome,
  type DispatchParameters,
  type EngineCall,
  type HeaderList,
  type PassedParameters,
  type PromptSize,
  type ServingRequest,
} from '../services';
import { HEADER_NAMES, KEY_SCHEME, PATHS, SYSTEM_HEADERS } from './wireNames';

/** Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1). */
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

/** A longer cold time in an answer is taken for damage; it would cut the endpoint off from work. */
const MAX_COLD_REMAINING_MS = 60_000;

/** Value of a header that states a fact. */
const YES = '1';

class Headers {
  private readonly byName: ReadonlyMap<string, string>;

  constructor(readonly list: HeaderList) {
    this.byName = new Map([...list].reverse().map(([name, value]) => [name.toLowerCase(), value]));
  }

  get(name: string): string | undefined {
    return this.byName.get(name.toLowerCase());
  }

  /** Returns a number from 0 to `max`; undefined if the header is missing or has another value. */
  getNumber(name: string, max = Number.MAX_VALUE): number | undefined {
    const text = this.get(name)?.trim();
    const value = text ? Number(text) : NaN;
    return value >= 0 && value <= max ? value : undefined;
  }

  /** Returns the headers without those of one connection and those listed in `Connection`. */
  getEndToEnd(): HeaderList {
    const connectionOptions = (this.get('connection') ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase());
    return this.list.filter(([name]) => {
      const lower = name.toLowerCase();
      return !CONNECTION_HEADERS.has(lower) && !connectionOptions.includes(lower);
    });
  }
}

/** Parses `prompt tokens,maximum output tokens`. */
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

/** Bounds the work and memory that one request can cause. */
const MAX_PROMPT_PARTS = 32;

/** Reads `id:tokens,id:tokens`, without the last part, which belongs to the request alone. */
function readSharedPrompt(headers: Headers): ReadonlyArray<PromptPart> {
  const text = headers.get(HEADER_NAMES.promptParts) ?? '';
  return text
    .split(',', MAX_PROMPT_PARTS + 1)
    .slice(0, -1)
    .flatMap((part) => {
      const [idText = '', tokensText = ''] = part.split(':', 2);
      const id = promptPartIdSchema.safeParse(idText.trim().toLowerCase());
      const tokens = Number(tokensText);
      return id.success ? [{ id: id.data, tokens: tokens > 0 ? tokens : 0 }] : [];
    });
}

/** Encodes text as the bytes of a header value, one character each, which are UTF-8. */
function encodeHeaderText(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Decodes a header value as UTF-8, or returns it byte by byte if it isn't. */
function decodeHeaderText(value: string): string {
  const bytes = Buffer.from(value, 'latin1');
  return isUtf8(bytes) ? bytes.toString('utf8') : value;
}

function readApiKey(headers: Headers): string | undefined {
  const value = headers.get(HEADER_NAMES.authorization)?.trim() ?? '';
  const [, scheme = '', key] = /^(\S+)\s+(.+)$/.exec(value) ?? [];
  if (key === undefined || scheme.toLowerCase() !== KEY_SCHEME.toLowerCase()) return undefined;
  return decodeHeaderText(key);
}

const copyResponseSchema = z.object({
  handle: z.union([z.string(), z.number()]).optional(),
  /** Number of events generated so far, not of tokens. */
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
      throw new ServingError('malformed-request', {
        detail: 'The request ID is missing or invalid.',
      });
    }
    const sharedPrompt = readSharedPrompt(headers);
    return {
      ...line,
      requestId: requestId.data,
      host: headers.get(HEADER_NAMES.host) ?? '',
      apiKey: readApiKey(headers),
      callerTimeoutMs: headers.getNumber(HEADER_NAMES.remainingMs),
      prompt: readPrompt(headers),
      sharedPromptParts: sharedPrompt.map(({ id }) => id),
      sharedPrompt,
      lastEventId: headers.get(HEADER_NAMES.lastEventId),
      resumedRequestId: callerRequestIdSchema.safeParse(headers.get(HEADER_NAMES.resumes)).data,
      passedStatement: headers.get(HEADER_NAMES.passedStatement),
      headers: headers.getEndToEnd().filter(([name]) => {
        const lower = name.toLowerCase();
        return !SYSTEM_HEADERS.has(lower) && lower !== 'content-length';
      }),
    };
  }

  writeHeaders({ headers }: ServingRequest, parameters: DispatchParameters): HeaderList {
    const { customer, lastEventId, continueFrom, backUpTo, priority } = parameters;
    return [
      ...headers,
      [HEADER_NAMES.remainingMs, String(parameters.remainingMs)],
      [HEADER_NAMES.expectedEndpoint, encodeHeaderText(parameters.expectedEndpointId)],
      ...(customer === undefined
        ? []
        : [[HEADER_NAMES.customer, encodeHeaderText(customer)] as const]),
      ...(lastEventId === undefined ? [] : [[HEADER_NAMES.lastEventId, lastEventId] as const]),
      ...(continueFrom
        ? [[HEADER_NAMES.continueFrom, `${continueFrom.address}/${continueFrom.handle}`] as const]
        : []),
      ...(backUpTo === undefined ? [] : [[HEADER_NAMES.backUpTo, backUpTo] as const]),
      ...(priority === undefined ? [] : [[HEADER_NAMES.priority, String(priority)] as const]),
    ];
  }

  writePassedHeaders(
    list: HeaderList,
    { to, remainingMs, passedStatement }: PassedParameters,
  ): HeaderList {
    const replaced = [
      HEADER_NAMES.remainingMs,
      HEADER_NAMES.passedStatement,
      HEADER_NAMES.expectedEndpoint,
      'content-length',
    ].map((name) => name.toLowerCase());
    return [
      ...new Headers(list).getEndToEnd().filter(([name]) => !replaced.includes(name.toLowerCase())),
      [HEADER_NAMES.remainingMs, String(remainingMs)],
      [HEADER_NAMES.passedStatement, passedStatement],
      // Nodes ignore it; an endpoint that has got the address of the node refuses the request.
      [HEADER_NAMES.expectedEndpoint, encodeHeaderText(to)],
    ];
  }

  readAnswer({ requestId }: ServingRequest, status: number, list: HeaderList): AnswerHead {
    const headers = new Headers(list);
    const isNotRun = headers.get(HEADER_NAMES.notRun) !== undefined;
    const isOtherEndpoint = status === MISDIRECTED;
    const echoedId = headers.get(HEADER_NAMES.requestId);
    return {
      status,
      headers: headers.getEndToEnd(),
      // A refusal may omit the request ID; every other response must repeat it.
      isForRequest:
        echoedId === requestId || (echoedId === undefined && (isNotRun || isOtherEndpoint)),
      namesNoRequest: echoedId === undefined,
      isNotRun,
      isOtherEndpoint,
      isSigned: headers.get(HEADER_NAMES.signature) !== undefined,
      isLeaving: this.saysLeaving(list),
      coldRemainingMs: headers.getNumber(HEADER_NAMES.coldRemainingMs, MAX_COLD_REMAINING_MS),
      requestLimitPerSecond: headers.getNumber(HEADER_NAMES.requestLimit),
      maxRejectionsPerSecond: headers.getNumber(HEADER_NAMES.rejectionLimit),
    };
  }

  saysLeaving(list: HeaderList): boolean {
    const leaving = HEADER_NAMES.leaving.toLowerCase();
    return list.some(
      ([name, value]) =>
        name.toLowerCase() === leaving && value.split(',').some((each) => each.trim() === YES),
    );
  }

  writeAnswerHeaders(requestId: CallerRequestId, statesNotRun: boolean): HeaderList {
    const notRun = statesNotRun ? [[HEADER_NAMES.notRun, '1'] as const] : [];
    return [[HEADER_NAMES.requestId, requestId], ...notRun];
  }

  writeCopyOrder(requestId: CallerRequestId, toAddress: string, isLast: boolean): EngineCall {
    const body = JSON.stringify({ id: requestId, to: toAddress, final: isLast });
    return { method: 'POST', target: PATHS.copyRun, body };
  }

  readCopyAnswer(status: number, body: string): CopyOutcome {
    const parsed = copyResponseSchema.safeParse(parseJson(body));
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
