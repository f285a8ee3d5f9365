/**
 * Shares the limits of one kind that endpoints have named, as each holds for all nodes together.
 */
import * as z from 'zod';
import { endpointIdSchema, type Clock } from '../../core';
import { SharedState } from '../../services';
import type { NamedLimits } from './NamedLimits';
import { FORWARDING_OPTIONS } from './options';

const ageMsSchema = z.number().min(0);

/**
 * Id, start of the process, what it names for a second, time since the limit was named and since it was found
 * to have ended, in ms; null if it wasn't.
 */
const limitSchema = z
  .tuple([endpointIdSchema, z.number(), ageMsSchema, ageMsSchema, ageMsSchema.nullable()])
  .readonly();

const contentSchema = z
  .object({
    limits: z.array(limitSchema).max(FORWARDING_OPTIONS.maxSharedLimits).readonly(),
  })
  .readonly();

/** @internal */
export class SharedLimits extends SharedState<typeof contentSchema> {
  readonly type: string;

  readonly schema = contentSchema;

  constructor(
    private readonly limits: NamedLimits,
    private readonly clock: Clock,
  ) {
    super();
    this.type = limits.kind.type;
  }

  override get revision(): number {
    return this.limits.revision;
  }

  override encode(): z.infer<typeof contentSchema> {
    const nowMs = this.clock.nowMs();
    return {
      limits: this.limits
        .list()
        .toSorted((a, b) => b.namedAtMs - a.namedAtMs)
        .slice(0, FORWARDING_OPTIONS.maxSharedLimits)
        .map(({ endpointId, startedAtWallMs, perSecond, namedAtMs, clearedAtMs }) => [
          endpointId,
          startedAtWallMs,
          perSecond,
          Math.max(0, nowMs - namedAtMs),
          Number.isFinite(clearedAtMs) ? Math.max(0, nowMs - clearedAtMs) : null,
        ]),
    };
  }

  override merge({ limits }: z.infer<typeof contentSchema>, takenAtMs: number): void {
    limits
      .filter(([, , , namedAgeMs]) => namedAgeMs <= FORWARDING_OPTIONS.limitMemoryMs)
      .forEach(([endpointId, startedAtWallMs, perSecond, namedAgeMs, clearedAgeMs]) =>
        this.limits.merge({
          endpointId,
          startedAtWallMs,
          perSecond,
          namedAtMs: takenAtMs - namedAgeMs,
          clearedAtMs: clearedAgeMs === null ? -Infinity : takenAtMs - clearedAgeMs,
        }),
      );
  }
}
