/**
 * HTTP routes that give callers the addresses to use, and operators the status of this node.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { HttpRoutes } from '../../services';
import { EntryRoutes } from './EntryRoutes';
import { StatusRoutes } from './StatusRoutes';

/** @internal */
export class EntryPlugin extends Plugin {
  static override readonly type = 'entry';

  override setUp(): void {
    this.kernel.provide(HttpRoutes, new EntryRoutes(this.kernel));
    this.kernel.provide(HttpRoutes, new StatusRoutes(this.kernel));
  }
}

registerPlugin(EntryPlugin);
