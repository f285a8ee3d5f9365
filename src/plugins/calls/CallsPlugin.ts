/**
 * Forwards calls to plain services.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { HttpRoutes, Router, ServiceCalls } from '../../services';
import { ServiceRoutes } from './ServiceRoutes';
import { UndiciServiceCalls } from './UndiciServiceCalls';

/** @internal */
export class CallsPlugin extends Plugin {
  static override readonly type = 'calls';

  override setUp(): void {
    const calls = new UndiciServiceCalls(this.kernel.get(Router), this.kernel.clock);
    this.kernel.provide(ServiceCalls, calls);
    this.kernel.provide(HttpRoutes, new ServiceRoutes(this.kernel));
  }
}

registerPlugin(CallsPlugin);
