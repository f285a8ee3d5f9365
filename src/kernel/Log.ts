/**
 * Structured log: one JSON object a line on standard output, written through consola.
 */
import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola';
import { SystemClock, type Decision } from '../core';
import { BoundedWriter } from './BoundedWriter';

/** Level, event name and fields of a line; the event name is a short fixed phrase. @public */
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
  /** Fields that stand in every line, such as the VM. */
  readonly fields: LogFields;
  /** Takes a finished line; by default standard output, bounded and without waiting. */
  readonly write?: (line: string) => void;
}

/** Steps of decisions about requests that went the usual way. */
const USUAL_STEPS: ReadonlySet<unknown> = new Set(['admit', 'route', 'finish']);

/** Status of an answer that needs no explanation. */
const USUAL_OUTCOME = /^2\d\d$/;

function isImportant(level: string, event: string, fields: LogFields = {}): boolean {
  if (level === 'warn' || level === 'error') return true;
  if (event === 'decision') return !USUAL_STEPS.has(fields.step);
  if (event === 'request') return !USUAL_OUTCOME.test(String(fields.outcome));
  return true;
}

/** Standard output is shared by all logs of the process. */
let standardOutput: BoundedWriter | undefined;

function getStandardOutput(): BoundedWriter {
  // A pipe blocks by default, and a reader that stops would hold up every request.
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
    // A throttled logger would drop decisions that look alike, so throttling is off.
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

  /** One line for each routing or placement decision. */
  decision(decision: Decision): void {
    this.console.info('decision', decision);
  }
}
