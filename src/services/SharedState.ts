/**
 * State that the nodes of a fleet exchange besides their membership. Plug-ins register instances.
 *
 * The content travels with the exchanges of the members, and only to nodes that lack its newest
 * revision.
 */
import type { z } from 'zod';

/** @public */
export abstract class SharedState<S extends z.ZodType = z.ZodType> {
  abstract readonly type: string;

  /** Content that does not match is ignored. */
  abstract readonly schema: S;

  /** Grows with each change of the content; 0 while there is none. */
  abstract readonly revision: number;

  /** Returns the content, with ages instead of times. */
  abstract encode(): z.infer<S>;

  /**
   * Merges the content of another node.
   * @param takenAtMs monotonic time of this node at or before which the content was encoded.
   */
  abstract merge(content: z.infer<S>, takenAtMs: number): void;
}
