/**
 * Shares which nodes reach no endpoint of which services, so that requests are not passed to them.
 *
 * Nodes pass on what they have learnt, as in a large fleet a node exchanges states with a few others.
 */
import * as z from 'zod';
import { incarnationSchema, vmIdSchema, type VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { Members, SharedState } from '../../services';
import { FORWARDING_OPTIONS } from './options';
import type { ReachMonitor } from './ReachMonitor';

/** Node, its process, its revision and the services that it doesn't reach. */
const nodeReachSchema = z
  .tuple([vmIdSchema, incarnationSchema, z.number().int().min(1), z.array(z.string()).readonly()])
  .readonly();

const contentSchema = z
  .object({ nodes: z.array(nodeReachSchema).max(FORWARDING_OPTIONS.maxReachNodes).readonly() })
  .readonly();

type NodeReach = z.infer<typeof nodeReachSchema>;

/** @internal */
export class SharedReach extends SharedState<typeof contentSchema> {
  readonly type = 'endpoint-reach';

  readonly schema = contentSchema;

  private others: ReadonlyMap<VmId, NodeReach> = new Map();

  private changeCount = 0;

  constructor(
    private readonly kernel: Kernel,
    private readonly reach: ReachMonitor,
  ) {
    super();
    reach.onChange(() => this.announce());
  }

  override get revision(): number {
    return this.changeCount;
  }

  override encode(): z.infer<typeof contentSchema> {
    return { nodes: [...this.listOwn(), ...this.others.values()] };
  }

  override merge({ nodes }: z.infer<typeof contentSchema>): void {
    const { vmId: self } = this.kernel.settings;
    const newer = nodes.filter((node) => node[0] !== self && this.isNewer(node));
    if (newer.length === 0) return;
    const merged = [...this.others, ...newer.map((node) => [node[0], node] as const)];
    this.others = new Map(merged.slice(-(FORWARDING_OPTIONS.maxReachNodes - 1)));
    this.announce();
  }

  /** Returns the live nodes that are known to reach no endpoint of a service. */
  listUnreaching(service: string): ReadonlySet<VmId> {
    const unreaching = this.kernel
      .get(Members)
      .listLive()
      .filter(({ vmId, incarnation }) => {
        const [, knownIncarnation, , services = []] = this.others.get(vmId) ?? [];
        return knownIncarnation === incarnation && services.includes(service);
      });
    return new Set(unreaching.map(({ vmId }) => vmId));
  }

  private listOwn(): ReadonlyArray<NodeReach> {
    const { revision } = this.reach;
    if (revision === 0) return [];
    const { settings, incarnation } = this.kernel;
    return [[settings.vmId, incarnation, revision, this.reach.listUnreached()]];
  }

  /** The process that is live is known from the members; of an ended one, the newest is kept. */
  private isNewer([vmId, incarnation, revision]: NodeReach): boolean {
    const known = this.others.get(vmId);
    if (!known) return true;
    if (known[1] === incarnation) return known[2] < revision;
    const live = this.kernel
      .get(Members)
      .listLive()
      .find((member) => member.vmId === vmId);
    return live?.incarnation === incarnation;
  }

  private announce(): void {
    this.changeCount += 1;
    this.kernel.get(Members).announceToPartners();
  }
}
