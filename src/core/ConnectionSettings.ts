/**
 * Settings that bound what the connections to a node may hold. The defaults suit every VM.
 */
import * as z from 'zod';

const MS_PER_SECOND = 1_000;
const BYTES_PER_MIB = 1_048_576;

/** @public */
export interface ConnectionSettings {
  /** Descriptors that sockets may use; undefined if the limit of the process holds. */
  readonly maxDescriptors: number | undefined;
  /** Memory for what callers have sent or not yet read; undefined if it follows from the heap limit. */
  readonly maxHeldBytes: number | undefined;
  /** Requests that one connection may have open at once. */
  readonly maxPipelinedRequests: number;
  /** Time in which a caller that reads nothing of a complete answer is waited for. */
  readonly unreadAnswerTimeoutMs: number;
  /** Time for the head of a request while no configuration is known. */
  readonly defaultHeaderTimeoutMs: number;
}

/** @internal */
export const connectionSettingsSchema = z
  .object({
    // A template writes null for a value that the platform doesn't give.
    maxDescriptors: z.int().min(64).nullish(),
    maxHeldMiB: z.int().min(4).nullish(),
    maxPipelinedRequests: z.int().min(1).default(32),
    unreadAnswerTimeoutSeconds: z.number().min(1).default(20),
    defaultHeaderTimeoutSeconds: z.number().min(1).default(10),
  })
  .transform((file): ConnectionSettings => ({
    maxDescriptors: file.maxDescriptors ?? undefined,
    maxHeldBytes: file.maxHeldMiB ? file.maxHeldMiB * BYTES_PER_MIB : undefined,
    maxPipelinedRequests: file.maxPipelinedRequests,
    unreadAnswerTimeoutMs: file.unreadAnswerTimeoutSeconds * MS_PER_SECOND,
    defaultHeaderTimeoutMs: file.defaultHeaderTimeoutSeconds * MS_PER_SECOND,
  }));
