/**
 * One node of a deployment: its process, its addresses, and requests to it.
 */
import { getVariableName, type SettingName, type Settings, type Vm, type VmId } from '../src/core';
import { ManagedProcess } from './ManagedProcess';

/** Data centre and region of a VM. */
export interface NodeLocation {
  readonly dataCentre: string;
  readonly region: string;
}

interface NodeAddresses {
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerAddress: string;
}

/** Timeout of a call, so that a call without a response fails its test. */
const CALL_TIMEOUT_MS = 30_000;

export class DeployedNode {
  /** Starts the process and waits until it listens. */
  static async start(settings: Settings): Promise<DeployedNode> {
    const environment = Object.fromEntries(
      Object.entries(settings).map(([name, value]) => [
        getVariableName(name as SettingName),
        value,
      ]),
    );
    const process = new ManagedProcess(['dist/bramleyvane.cjs', 'serve'], environment);
    const peers = await process.waitForLine('peers listening', (line) =>
      Boolean(line.event === 'peers listening'),
    );
    const http = await process.waitForLine('listening', ({ event }) => event === 'listening');
    return new DeployedNode(process, settings, {
      callerUrl: `http://${String(http.callerAddress)}`,
      operatorUrl: `http://${String(http.operatorAddress)}`,
      peerAddress: String(peers.peerAddress),
    });
  }

  private constructor(
    readonly process: ManagedProcess,
    readonly settings: Settings,
    readonly addresses: NodeAddresses,
  ) {}

  get vmId(): VmId {
    return this.settings.vmId;
  }

  /** @param peerAddress address of a relay if the test is to control the link. */
  describe(peerAddress = this.addresses.peerAddress): Vm {
    const { vmId, dataCentre, region } = this.settings;
    const url = this.addresses.callerUrl;
    return { vmId, role: 'entry', url, peerAddress, dataCentre, region, state: 'live' };
  }

  /** Sends a request as a customer. */
  async call(apiKey: string, path: string, init: RequestInit = {}): Promise<Response> {
    const headers = new Headers(init.headers);
    headers.set('authorization', `Bearer ${apiKey}`);
    const timeout = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const signal = init.signal ? AbortSignal.any([init.signal, timeout]) : timeout;
    return fetch(`${this.addresses.callerUrl}${path}`, { ...init, headers, signal });
  }

  /** Sends a request to the operator listener. */
  async callOperatorApi(path: string): Promise<Response> {
    return fetch(`${this.addresses.operatorUrl}${path}`);
  }

  async isReady(): Promise<boolean> {
    return (await this.callOperatorApi('/readyz')).ok;
  }

  hasLogged(event: string, fields: Readonly<Record<string, unknown>> = {}): boolean {
    return this.process.lines.some(
      (line) =>
        line.event === event &&
        Object.entries(fields).every(([name, value]) => line[name] === value),
    );
  }
}
