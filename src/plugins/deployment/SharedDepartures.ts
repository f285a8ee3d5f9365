/**
 * What nodes have to know of an era besides the entries of the source: where it began, and which
 * endpoints had departed before. Nothing is shared while the source keeps its era.
 */
import * as z from 'zod';
import { endpointIdSchema, type Clock } from '../../core';
import { SharedState } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';
import { positionSchema } from './relayMessages';

/** Id, start of the process, position of the departure, its age in ms. */
const departureSchema = z
  .tuple([endpointIdSchema, z.number(), positionSchema, z.number().min(0)])
  .readonly();

const contentSchema = z
  .object({
    era: z.number().int().min(0),
    eraStart: positionSchema,
    departures: z.array(departureSchema).max(DEPLOYMENT_OPTIONS.maxSharedDepartures).readonly(),
  })
  .readonly();

/** @internal */
export class SharedDepartures extends SharedState<typeof contentSchema> {
  readonly type = 'departures';

  readonly schema = contentSchema;

  constructor(
    private readonly store: DeploymentStore,
    private readonly clock: Clock,
  ) {
    super();
  }

  override get revision(): number {
    return this.store.departures.revision;
  }

  override encode(): z.infer<typeof contentSchema> {
    const { newestEra, departures } = this.store;
    return {
      era: newestEra,
      eraStart: departures.eraStart,
      departures: departures
        .listFromBefore(newestEra)
        .map(({ endpointId, startedAtWallMs, position, atMs }) => [
          endpointId,
          startedAtWallMs,
          position,
          Math.max(0, Math.round(this.clock.nowMs() - atMs)),
        ]),
    };
  }

  override merge(content: z.infer<typeof contentSchema>, takenAtMs: number): void {
    const { store } = this;
    store.hearOfEra(content.era);
    store.noteEraStart(content.eraStart);
    content.departures
      .filter(([, , , ageMs]) => ageMs <= DEPLOYMENT_OPTIONS.departureMemoryMs)
      .forEach(([endpointId, startedAtWallMs, position, ageMs]) =>
        store.applyDeparture({ endpointId, startedAtWallMs, position, atMs: takenAtMs - ageMs }),
      );
  }
}
