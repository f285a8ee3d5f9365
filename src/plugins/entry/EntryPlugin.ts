/**
 * Which address to use, for callers; what this node knows, for operators.
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
