/**
 * Three nodes with an operation key issued by the first, and a service reached by the real HTTP
 * client. Messages between the nodes are delivered, dropped and delayed by the test.
 */
import { ServingError } from '../src/core';
import { UndiciServiceCalls } from '../src/plugins/calls/UndiciServiceCalls';
import { OPERATION_OPTIONS, type OperationOptions } from '../src/plugins/operations/options';
import type { Router } from '../src/services';
import { RawService } from './RawService';
import { createCallContext, CUSTOMER, SimulatedFleet } from './SimulatedFleet';

interface Variant {
  readonly body?: string;
  readonly path?: string;
  readonly kind?: string;
  readonly customer?: string;
  readonly key?: string;
}

/** Three nodes with a key issued by node 0, and a service reached by the real HTTP client. */
export class OperationFixture {
  readonly service = new RawService();

  key = '';

  private constructor(
    readonly fleet: SimulatedFleet,
    readonly url: { readonly value: string },
  ) {}

  static async start(
    nodeCount = 3,
    options: Partial<OperationOptions> = {},
  ): Promise<OperationFixture> {
    const url = { value: '' };
    const fleet = new SimulatedFleet({
      nodeCount,
      options: { ...OPERATION_OPTIONS, ...options },
      getEndpointUrl: () => url.value,
      createServiceCalls: (_, { clock }) => new UndiciServiceCalls({} as Router, clock),
    });
    const scene = new OperationFixture(fleet, url);
    url.value = await scene.service.start();
    await fleet.start();
    scene.key = await scene.issueKey(0);
    return scene;
  }

  async issueKey(node: number): Promise<string> {
    const issued = this.fleet.get(node).operations.issueTicket(CUSTOMER, 'credit');
    return (await this.fleet.settle(issued)).key;
  }

  /** What a caller is told: status and body, or the kind of the error. */
  async send(node: number, variant: Variant = {}): Promise<string> {
    return this.fleet.settle(this.begin(node, variant), () => this.service.isBusy);
  }

  async begin(node: number, variant: Variant = {}): Promise<string> {
    const { body = 'a', path = '/credit', kind, customer, key = this.key } = variant;
    const call = { method: 'POST', path, headers: {}, body: Buffer.from(body) };
    try {
      const context = createCallContext(kind, customer);
      const answer = await this.fleet.get(node).operations.run(key, call, context);
      return `${answer.status} ${Buffer.from(answer.body).toString()}`;
    } catch (thrown) {
      return ServingError.from(thrown).kind;
    }
  }

  /** Holds the answer and returns when the service has the request. */
  async beginHeld(node: number): Promise<{ readonly sent: Promise<string> }> {
    this.service.hold();
    const sent = this.begin(node);
    while (!this.service.isBusy) {
      await this.fleet.deliverAll();
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    }
    return { sent };
  }

  dropLabelled(...labels: ReadonlyArray<string>): void {
    this.fleet.intercept = ({ label }) => (labels.includes(label) ? 'drop' : undefined);
  }

  advance(byMs: number): void {
    this.fleet.advance(byMs);
    this.fleet.fireTimers();
  }
}
