/**
 * Short texts for what was wrong with a value from outside the process.
 */
import * as z from 'zod';

/** Longest text of a fault; a message may quote the value. */
const MAX_FAULT_CHARS = 200;

/** @public */
export function describeFault(thrown: unknown): string {
  const [issue] = thrown instanceof z.ZodError ? thrown.issues : [];
  if (issue) return `${issue.path.join('.')}: ${issue.message}`.slice(0, MAX_FAULT_CHARS);
  return (thrown instanceof Error ? thrown.message : String(thrown)).slice(0, MAX_FAULT_CHARS);
}
