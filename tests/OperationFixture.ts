/**
 * Sets up three nodes, an operation key issued by node 0, and a service that they call with the
 * real HTTP client. The test delivers, drops and delays the messages between the nodes.
 */
import { ServingError } from '../src/core';
import { UndiciServiceCalls } from '../src/plugins/calls/UndiciServiceCalls';
import { OPERATION_OPTIONS, type OperationOptions } from '../src/plugins/operations/options';
import type { Router } from '../src/services';
import { RawService } from './RawService';
import { createCallContext, CUSTOMER, SimulatedFleet } from './SimulatedFleet';

/** Differences from the default call. */
interface CallOptions {
  readonly body?: string;
  readonly path?: string;
  readonly kind?: string;
  readonly customer?: string;
  readonly key?: string;
}

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
    const fixture = new OperationFixture(fleet, url);
    url.value = await fixture.service.start();
    await fleet.start();
    fixture.key = await fixture.issueKey(0);
    return fixture;
  }

  async issueKey(node: number): Promise<string> {
    const issued = this.fleet.get(node).operations.issueTicket(CUSTOMER, 'credit');
    return (await this.fleet.settle(issued)).key;
  }

  /** Sends a call and returns the status and body of the response, or the kind of the error. */
  async send(node: number, options: CallOptions = {}): Promise<string> {
    return this.fleet.settle(this.begin(node, options), () => this.service.isBusy);
  }

  /** Starts a call as `send` does; the test delivers its messages. */
  async begin(node: number, options: CallOptions = {}): Promise<string> {
    const { body = 'a', path = '/credit', kind, customer, key = this.key } = options;
    const call = { method: 'POST', path, headers: {}, body: Buffer.from(body) };
    try {
      const context = createCallContext(kind, customer);
      const response = await this.fleet.get(node).operations.run(key, call, context);
      return `${response.status} ${Buffer.from(response.body).toString()}`;
    } catch (thrown) {
      return ServingError.from(thrown).kind;
    }
  }

  /** Holds the response and returns once the request has reached the service. */
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
