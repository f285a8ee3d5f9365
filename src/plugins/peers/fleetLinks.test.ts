/**
 * Tests the links of a fleet whose VMs have few descriptors.
 */
import * as z from 'zod';
import { startNodes, type TestNode } from '../../../tests/TestNode';
import { Plugin } from '../../kernel';
import { PeerHandler, Peers } from '../../services';

jest.mock('../../wire/readProcessResources', () => ({
  readProcessResources: () => ({ heapLimitBytes: 125_829_120, descriptors: 200 }),
}));

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
