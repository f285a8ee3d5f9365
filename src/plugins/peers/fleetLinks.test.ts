/**
 * Tests the links of a fleet whose VMs have few descriptors.
 */
import * as z from 'zod';
import { startNodes, type TestNode } from '../../../tests/TestNode';
import { computeConnectionBudget } from '../../decisions';
import { Plugin } from '../../kernel';
import { FrontSettingsStore, PeerHandler, Peers } from '../../services';

const STATED = { heapLimitBytes: 125_829_120, descriptors: 4_100 };

jest.mock('../../wire/readProcessResources', () => ({
  readProcessResources: (descriptors = 200) => ({ heapLimitBytes: 125_829_120, descriptors }),
}));

class StatedDescriptorsPlugin extends Plugin {
  static override readonly type = 'stated-descriptors';

  override setUp(): void {
    const connections = { maxDescriptors: STATED.descriptors };
    this.kernel.provide(FrontSettingsStore, {
      settings: { connections },
    } as unknown as FrontSettingsStore);
  }
}

class EchoHandler extends PeerHandler {
  readonly type = 'echo';

  readonly schema = z.string();

  async handle(_from: unknown, body: string): Promise<unknown> {
    return body;
  }
}

class EchoPlugin extends Plugin {
  static override readonly type = 'echo';

  override setUp(): void {
    this.kernel.provide(PeerHandler, new EchoHandler());
  }
}

let nodes: ReadonlyArray<TestNode> = [];

afterEach(async () => Promise.all(nodes.map(async (node) => node.dispose())));

// Guards against nodes that refuse the links of their own fleet because it has more nodes than the
// port accepts strangers. Nodes without links know neither the loads nor the newest configuration.
test('a node keeps links to every node of its fleet', async () => {
  const vmIds = Array.from({ length: 40 }, (_, index) => `vm-${index + 10}`);
  nodes = await startNodes(vmIds.map((vmId) => ({ vmId, plugins: [EchoPlugin] })));
  const [hub, ...others] = nodes as [TestNode, ...TestNode[]];
  const callHub = async (node: TestNode): Promise<unknown> => {
    const { vmId } = node.settings;
    return node
      .get(Peers)
      .call(hub.settings.vmId, 'echo', vmId, node.clock.nowMs() + 3_000)
      .catch(() => undefined);
  };
  const answers: unknown[] = [];
  for (const node of others) answers.push(await callHub(node));
  expect(answers).toEqual(others.map(({ settings }) => settings.vmId));
  expect(
    new Set(
      hub
        .get(Peers)
        .listLinked()
        .map(({ vmId }) => vmId),
    ),
  ).toEqual(new Set(others.map(({ settings }) => settings.vmId)));
});

// Guards against a port that accepts a handful of connections because the limit of the process stands
// for the number of descriptors that the settings state.
test('the port for peers divides the stated descriptors', async () => {
  nodes = await startNodes([{ vmId: 'vm-1', plugins: [StatedDescriptorsPlugin] }]);
  const line = nodes[0]?.logLines.find(({ event }) => event === 'peers listening');
  expect(line?.maxConnections).toBe(computeConnectionBudget(STATED).peers);
});
