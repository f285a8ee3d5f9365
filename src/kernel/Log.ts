/**
 * Structured log: one JSON object a line on standard output, written through consola.
 */
import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola';
import type { Decision } from '../core';

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
  /** Takes a finished line; standard output by default. */
  readonly write?: (line: string) => void;
}

function serializeError(_key: string, value: unknown): unknown {
  if (!(value instanceof Error)) return value;
  return { name: value.name, message: value.message };
}

/** @public */
export class Log {
  private readonly console: ConsolaInstance;

  constructor({ level, fields, write }: LogOptions) {
    const writeLine = write ?? ((line: string): unknown => process.stdout.write(line));
    const reporter: ConsolaReporter = {
      log: (entry) => {
        const [event, extra] = entry.args as [string, LogFields | undefined];
        const line = {
          time: entry.date.toISOString(),
          level: entry.type,
          event,
          ...fields,
          ...extra,
        };
        writeLine(`${JSON.stringify(line, serializeError)}\n`);
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
