/**
 * Shares the list of all nodes that may be running, while the configuration divides a quota by it.
 */
import * as z from 'zod';
import { computeAgeMs, vmIdSchema } from '../../core';
import type { Kernel } from '../../kernel';
import { Deployment, SharedState } from '../../services';
import type { FleetRoster } from './FleetRoster';
import { MEMBER_OPTIONS } from './options';

const contentSchema = z
  .object({
    isComplete: z.boolean(),
    /** Id, time since the node was heard of in ms. */
    nodes: z
      .array(z.tuple([vmIdSchema, z.number().min(0)]).readonly())
      .max(MEMBER_OPTIONS.maxSharingPeers)
      .readonly(),
  })
  .readonly();

/** @internal */
export class SharedRoster extends SharedState<typeof contentSchema> {
  readonly type = 'roster';

  readonly schema = contentSchema;

  constructor(
    private readonly kernel: Kernel,
    private readonly roster: FleetRoster,
  ) {
    super();
  }

  override get revision(): number {
    const services = this.kernel
      .getAll(Deployment)
      .flatMap(({ configuration }) => [...(configuration?.services.values() ?? [])]);
    const isNeeded = services.some((service) => service.coldRequestsPerSecond !== undefined);
    return isNeeded ? this.roster.revision : 0;
  }

  override encode(): z.infer<typeof contentSchema> {
    return {
      isComplete: this.roster.isComplete,
      nodes: this.roster
        .list()
        .toSorted((a, b) => b.heardAtMs - a.heardAtMs)
        .slice(0, MEMBER_OPTIONS.maxSharingPeers)
        .map(({ vmId, heardAtMs }) => [vmId, computeAgeMs(this.kernel.clock, heardAtMs)]),
    };
  }

  override merge({ isComplete, nodes }: z.infer<typeof contentSchema>, takenAtMs: number): void {
    nodes.forEach(([vmId, ageMs]) => this.roster.record(vmId, takenAtMs - ageMs));
    if (isComplete) this.roster.markComplete();
  }
}
