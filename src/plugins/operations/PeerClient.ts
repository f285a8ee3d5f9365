/**
 * Sends requests about operations to other nodes.
 */
import type { z } from 'zod';
import type { VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { Peers } from '../../services';

/** @internal */
export class PeerClient {
  constructor(private readonly kernel: Kernel) {}

  /**
   * Returns undefined when no valid reply arrived; the peer may have handled the message anyway.
   */
  async request<S extends z.ZodType>(
    vmId: VmId,
    message: { readonly type: string; readonly body: unknown },
    replySchema: S,
    timeoutMs: number,
  ): Promise<z.infer<S> | undefined> {
    const [peers] = this.kernel.getAll(Peers);
    if (!peers) return undefined;
    const deadlineMs = this.kernel.clock.nowMs() + timeoutMs;
    try {
      const reply = await peers.call(vmId, message.type, message.body, deadlineMs);
      return replySchema.parse(reply);
    } catch (thrown) {
      this.kernel.log.debug('no valid reply from peer', {
        vmId,
        type: message.type,
        cause: thrown,
      });
      return undefined;
    }
  }
}
