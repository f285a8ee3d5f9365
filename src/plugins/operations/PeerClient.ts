/**
 * Questions to other nodes about operations.
 */
import type { z } from 'zod';
import type { VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { Peers } from '../../services';

/** @internal */
export class PeerClient {
  constructor(private readonly kernel: Kernel) {}

  /**
   * Returns undefined when no proper reply came; the message may have been handled all the same.
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
      this.kernel.log.debug('peer gave no reply', { vmId, type: message.type, cause: thrown });
      return undefined;
    }
  }
}
