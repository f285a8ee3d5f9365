/**
 * Dispatches messages from peers to their handlers by type.
 */
import { ServingError } from '../../core';
import type { Peer, PeerHandler } from '../../services';

/** @internal */
export class MessageDispatcher {
  private readonly handlers: ReadonlyMap<string, PeerHandler>;

  constructor(handlers: ReadonlyArray<PeerHandler>) {
    this.handlers = new Map(handlers.map((handler) => [handler.type, handler]));
  }

  /**
   * Validates a message and returns a function that calls its handler.
   * @throws ServingError `malformed-request` for an unknown type or an invalid body.
   */
  prepare(from: Peer, type: string, body: unknown): () => Promise<unknown> {
    const handler = this.handlers.get(type);
    if (!handler) {
      throw new ServingError('malformed-request', { detail: `No handler for the type ${type}.` });
    }
    const result = handler.schema.safeParse(body);
    if (!result.success) {
      throw new ServingError('malformed-request', {
        detail: `The body of ${type} is not valid.`,
        cause: result.error,
      });
    }
    return async () => handler.handle(from, result.data);
  }
}
