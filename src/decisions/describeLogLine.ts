/**
 * Describes a forwarding node's log lines about one request in sentences.
 */

/** A parsed log line. @public */
export type LogLine = Readonly<Record<string, unknown>>;

const REQUEST_EVENTS: ReadonlySet<string> = new Set(['request', 'decision', 'endpoint crashed']);

interface SentAttempt {
  readonly endpointId: string;
  readonly outcome: string;
  readonly afterMs: number;
  readonly bodyBytes?: number;
}

function describePromptWait({ promptWaitMs }: LogLine): string {
  if (promptWaitMs === undefined) return '';
  return ` It had waited ${String(promptWaitMs)} ms for the prompt work of others.`;
}

function describePlacement(line: LogLine): string {
  const why = line.step === 'retry' ? 'Sent once more' : 'Placed';
  const load = typeof line.takenShare === 'number' ? Math.round(line.takenShare * 100) : undefined;
  const taken = load === undefined ? '' : `, whose scarcest resource was then ${load} % taken`;
  const allowed = (line.allowedRegions ?? []) as ReadonlyArray<string>;
  const regions =
    allowed.length === 0 ? '' : `; only the regions ${allowed.join(', ')} are allowed`;
  return (
    `${why} on ${String(line.endpointId)} of ${String(line.service)}${taken}; ` +
    `${String(line.candidates)} endpoints could have taken it, as of ${String(line.confirmedAgeMs)} ms ago${regions} ` +
    `(clause ${String(line.clause)}, version ${String(line.configurationVersion)}).${describePromptWait(line)}`
  );
}

function describeRefusal(line: LogLine): string {
  const clause = line.clause === undefined ? '' : ` by the clause ${String(line.clause)}`;
  const again =
    line.retryAfterMs === undefined
      ? ''
      : ` The caller was told to come back after ${String(line.retryAfterMs)} ms.`;
  return `Refused as ${String(line.kind)}${clause}: ${String(line.reason)}${again}`;
}

function describeStep(line: LogLine): string {
  const from = line.from === undefined ? '' : ` from ${String(line.from)}`;
  const to = line.to === undefined ? '' : ` to ${String(line.to)}`;
  const reason = line.reason === undefined ? '' : ` because: ${String(line.reason)}`;
  const made =
    line.outputTokens === undefined ? '' : ` after ${String(line.outputTokens)} tokens of output`;
  const clause = line.clause === undefined ? '' : ` (clause ${String(line.clause)})`;
  return `${String(line.what)}${from}${to}${made}: ${String(line.outcome ?? 'noted')}${reason}${clause}.`;
}

/** Names the bytes of an attempt's body only if they aren't all that the caller has sent. */
function describeAttempt(
  { endpointId, outcome, afterMs, bodyBytes }: SentAttempt,
  receivedBytes: unknown,
): string {
  const isWhole = bodyBytes === undefined || bodyBytes === receivedBytes;
  const part = isWhole ? '' : ` (${bodyBytes} of ${String(receivedBytes)} bytes of the body)`;
  return `${endpointId} after ${afterMs} ms: ${outcome}${part}`;
}

function describeEnd(line: LogLine): string {
  const attempts = (line.attempts ?? []) as ReadonlyArray<SentAttempt>;
  const sent = attempts.map((attempt) => describeAttempt(attempt, line.bodyBytes));
  const where = sent.length === 0 ? 'It was sent to no endpoint.' : `Sent to ${sent.join('; ')}.`;
  return `Ended as ${String(line.outcome)} after ${String(line.totalMs)} ms on route ${String(line.route ?? 'none')}. ${where}`;
}

function describeCrash(line: LogLine): string {
  const parts = (line.promptParts ?? []) as ReadonlyArray<string>;
  const began = line.hadHead ? 'had begun without output' : 'had not begun';
  const progress =
    line.outputForMs === undefined ? began : `had had output for ${String(line.outputForMs)} ms`;
  return `${String(line.endpointId)} crashed while the answer ${progress}; shared parts of the prompt: ${parts.join(', ') || 'none'}.`;
}

function describe(line: LogLine): string {
  if (line.event === 'request') return describeEnd(line);
  if (line.event === 'endpoint crashed') return describeCrash(line);
  if (line.step === 'refuse') return describeRefusal(line);
  if (line.outcome === 'refuse') {
    return `Found no place (${String(line.step)}): ${String(line.reason)} (clause ${String(line.clause)}).`;
  }
  if (line.what !== undefined) return describeStep(line);
  if (line.endpointId !== undefined) return describePlacement(line);
  return `${String(line.step)}: ${String(line.outcome)}${line.reason === undefined ? '' : ` (${String(line.reason)})`}.`;
}

/** Describes a line with its time and node; undefined if it isn't about the request. */
export function describeLogLine(line: LogLine, requestId: string): string | undefined {
  const isAbout = REQUEST_EVENTS.has(String(line.event));
  if (!isAbout || line.requestId !== requestId) return undefined;
  return `${String(line.time)} ${String(line.vmId)}: ${describe(line)}`;
}
