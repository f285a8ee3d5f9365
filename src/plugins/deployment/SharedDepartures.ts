/**
 * What nodes have to know besides the entries of the source: which endpoints announced that they are
 * leaving, where an era began, which endpoints had departed before, and which data centres the operator
 * has evacuated. Nothing is shared while the source keeps its era, no endpoint announces its departure
 * and no data centre is evacuated.
 */
import * as z from 'zod';
import { computeAgeMs, endpointIdSchema, type Clock } from '../../core';
import { SharedState } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { DEPLOYMENT_OPTIONS } from './options';
import { positionSchema, relayedEvacuationSchema } from './relayMessages';

/** More than a node sends, so that a node may remember more than another one. */
const MAX_SHARED_EVACUATIONS = 2 * DEPLOYMENT_OPTIONS.maxEvacuationStates;

/** Id, start of the process, position of the departure, its age in ms. */
const departureSchema = z
  .tuple([endpointIdSchema, z.number(), positionSchema, z.number().min(0)])
  .readonly();

/** Id, start of the process, age of the announcement in ms. */
const announcedSchema = z.tuple([endpointIdSchema, z.number(), z.number().min(0)]).readonly();

const contentSchema = z
  .object({
    era: z.number().int().min(0),
    /** Lowest position that was seen in the newest era. */
    eraStart: positionSchema,
    /** The same of earlier eras; absent from nodes of earlier releases. */
    earlierStarts: z
      .array(positionSchema)
      .max(DEPLOYMENT_OPTIONS.maxRememberedEras)
      .readonly()
      .default([]),
    departures: z.array(departureSchema).max(DEPLOYMENT_OPTIONS.maxSharedDepartures).readonly(),
    /** Absent from nodes of earlier releases. */
    evacuations: z
      .array(relayedEvacuationSchema)
      .max(MAX_SHARED_EVACUATIONS)
      .readonly()
      .default([]),
    announced: z.array(announcedSchema).max(DEPLOYMENT_OPTIONS.maxSharedDepartures).readonly(),
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
    return this.store.departures.revision + this.store.evacuations.revision;
  }

  override encode(): z.infer<typeof contentSchema> {
    const { newestEra, departures, evacuations } = this.store;
    return {
      era: newestEra,
      eraStart: departures.eraStart,
      earlierStarts: departures.listEraStarts().slice(0, -1),
      departures: departures
        .listFromBefore(newestEra)
        .map(({ endpointId, startedAtWallMs, position, atMs }) => [
          endpointId,
          startedAtWallMs,
          position,
          computeAgeMs(this.clock, atMs),
        ]),
      evacuations: evacuations.list().slice(-DEPLOYMENT_OPTIONS.maxEvacuationStates),
      announced: departures
        .listAnnounced(this.clock.nowMs())
        .map(({ endpointId, startedAtWallMs, atMs }) => [
          endpointId,
          startedAtWallMs,
          computeAgeMs(this.clock, atMs),
        ]),
    };
  }

  override merge(content: z.infer<typeof contentSchema>, takenAtMs: number): void {
    const { store } = this;
    store.hearOfEra(content.era);
    [content.eraStart, ...content.earlierStarts].forEach((position) =>
      store.noteEraStart(position),
    );
    content.departures
      .filter(([, , , ageMs]) => ageMs <= DEPLOYMENT_OPTIONS.departureMemoryMs)
      .forEach(([endpointId, startedAtWallMs, position, ageMs]) =>
        store.applyDeparture({ endpointId, startedAtWallMs, position, atMs: takenAtMs - ageMs }),
      );
    content.evacuations.forEach((state) =>
      store.evacuations.apply(state, store.completeTo, 'reported by another node'),
    );
    content.announced.forEach(([endpointId, startedAtWallMs, ageMs]) =>
      store.applyAnnounced(
        { endpointId, startedAtWallMs, atMs: takenAtMs - ageMs },
        'announced its departure to another node',
      ),
    );
  }
}
