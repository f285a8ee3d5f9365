/**
 * Structured log: one JSON object per line on standard output, written through consola.
 */
import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola';
import { SystemClock, type Decision } from '../core';
import { BoundedWriter } from './BoundedWriter';

/** Fields of a line besides its level and event; the event is a short fixed phrase. @public */
export type LogFields = Readonly<Record<string, unknown>>;

const LEVELS = {
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
} as const;

/** @public */
export type LogLevelName = keyof typeof LEVELS;

/** @public */
export interface LogOptions {
  readonly level: LogLevelName;
  /** Fields that are added to every line, such as the VM. */
  readonly fields: LogFields;
  /** Receives each formatted line; by default a rate-limited, non-blocking standard output. */
  readonly write?: (line: string) => void;
}

/** Decision steps of a request that ran without a wait, retry or refusal. */
const ROUTINE_STEPS: ReadonlySet<unknown> = new Set(['admit', 'route', 'finish']);

/** Outcome of a request that needs no diagnosis. */
const SUCCESS_OUTCOME = /^2\d\d$/;

function isImportant(level: string, event: string, fields: LogFields = {}): boolean {
  if (level === 'warn' || level === 'error') return true;
  if (event === 'decision') return !ROUTINE_STEPS.has(fields.step);
  if (event === 'request') return !SUCCESS_OUTCOME.test(String(fields.outcome));
  return true;
}

/** Standard output is shared by all logs of the process. */
let standardOutput: BoundedWriter | undefined;

function getStandardOutput(): BoundedWriter {
  // Writes to a pipe block by default, so a stalled reader would delay every request.
  const { _handle: handle } = process.stdout as {
    readonly _handle?: { readonly setBlocking?: (isBlocking: boolean) => void };
  };
  if (!standardOutput) handle?.setBlocking?.(false);
  standardOutput ??= new BoundedWriter(process.stdout, new SystemClock());
  return standardOutput;
}

function serializeError(_key: string, value: unknown): unknown {
  if (!(value instanceof Error)) return value;
  return { name: value.name, message: value.message };
}

/** @public */
export class Log {
  private readonly console: ConsolaInstance;

  constructor({ level, fields, write }: LogOptions) {
    const reporter: ConsolaReporter = {
      log: (entry) => {
        const [event, extra] = entry.args as [string, LogFields | undefined];
        const format = (): string => {
          const time = entry.date.toISOString();
          const line = { time, level: entry.type, event, ...fields, ...extra };
          return `${JSON.stringify(line, serializeError)}\n`;
        };
        if (write) write(format());
        else {
          const isNeeded = isImportant(entry.type, event, extra);
          getStandardOutput().write({ format, event, isImportant: isNeeded });
        }
      },
    };
    // Throttling is off because it would drop consecutive decisions that look alike.
    this.console = createConsola({ level: LEVELS[level], reporters: [reporter], throttle: 0 });
  }

  error(event: string, fields?: LogFields): void {
    this.console.error(event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.console.warn(event, fields);
  }

  info(event: string, fields?: LogFields): void {
    this.console.info(event, fields);
  }

  debug(event: string, fields?: LogFields): void {
    this.console.debug(event, fields);
  }

  /** Writes one line for each routing or placement decision. */
  decision(decision: Decision): void {
    this.console.info('decision', decision);
  }
}
