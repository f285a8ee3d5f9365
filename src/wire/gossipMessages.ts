/**
 * Messages by which nodes exchange state, in a form that is small on the link.
 *
 * Lists of numbers carry the entries, because msgpack writes a small number as one byte. A VM is
 * named by a 32-bit hash of its id. Ages are counted in units and rounded up, so that knowledge
 * never looks fresher than it is.
 */
import { z } from 'zod';
import { incarnationSchema, type EndpointReport, type Incarnation } from '../core';

/** One byte holds ages below 1.6 s together with the state. */
const AGE_UNIT_MS = 50;

const STATES = ['starting', 'serving', 'draining'] as const;

const STATE_FACTOR = 4;
const LEAVING_FACTOR = 2;

/** Numbers of one entry in each list. */
const REFRESH_LENGTH = 2;
const REPORT_LENGTH = 7;

const naturalSchema = z.number().int().min(0);

/** Asks a neighbour for what has changed. @public */
export const gossipRequestSchema = z
  .strictObject({
    /** Sequence number of the last reply that arrived; 0 for none. */
    ack: naturalSchema,
    /** Hashes of VMs of which only the age arrived, but whose state isn't held. */
    unknown: z.array(naturalSchema).readonly().optional(),
  })
  .readonly();
export type GossipRequest = z.infer<typeof gossipRequestSchema>;

const packedSourceSchema = z.tuple([
  /** Age of the newest confirmation, -1 for none. */
  z.number().int().min(-1),
  /** Revision up to which the copy is complete, -1 for none. */
  z.number().int().min(-1),
  /** Digest of the records. */
  naturalSchema,
]);

const packedStateSchema = z.tuple([
  naturalSchema,
  naturalSchema,
  z.custom<Uint8Array>((value) => value instanceof Uint8Array && value.length === 8),
]);

const packedModelsSchema = z.tuple([naturalSchema, z.array(z.string())]);

/** A reply as it is on the link. @public */
export const packedGossipReplySchema = z.strictObject({
  s: naturalSchema,
  c: packedSourceSchema,
  v: packedSourceSchema,
  /** Node states: hash, age and state; and the incarnation. */
  N: z.array(packedStateSchema).optional(),
  /** Ages of known node states: hash, age and state. */
  n: z.array(naturalSchema).optional(),
  /** Reports, seven numbers each. */
  R: z.array(z.number()).optional(),
  /** Models of the reports whose models have changed. */
  m: z.array(packedModelsSchema).optional(),
  /** Ages of known reports: hash, age and whether the endpoint leaves. */
  r: z.array(naturalSchema).optional(),
});
export type PackedGossipReply = z.infer<typeof packedGossipReplySchema>;

/** What a node knows of one published source. @public */
export interface SourceStatus {
  readonly confirmedAgeMs: number | undefined;
  readonly completeRevision: number | undefined;
  readonly digest: number;
}

/** @public */
export type ReportedNodeState = (typeof STATES)[number];

/** A node state that the neighbour has already; only its age is new. @public */
export interface StateRefresh {
  readonly idHash: number;
  readonly ageMs: number;
  readonly state: ReportedNodeState;
}

/** @public */
export interface NodeStateUpdate extends StateRefresh {
  readonly incarnation: Incarnation;
}

/** A report that the neighbour has already; only its age is new. @public */
export interface ReportRefresh {
  readonly idHash: number;
  readonly ageMs: number;
  readonly leaving: boolean;
}

/** @public */
export interface ReportUpdate {
  readonly idHash: number;
  readonly ageMs: number;
  readonly report: Omit<EndpointReport, 'models'>;
  /** Undefined when the neighbour has the same models already. */
  readonly models: ReadonlyArray<string> | undefined;
}

/** @public */
export interface GossipReply {
  readonly sequence: number;
  readonly configuration: SourceStatus;
  readonly vmList: SourceStatus;
  readonly nodeStates: ReadonlyArray<NodeStateUpdate>;
  readonly stateRefreshes: ReadonlyArray<StateRefresh>;
  readonly reports: ReadonlyArray<ReportUpdate>;
  readonly reportRefreshes: ReadonlyArray<ReportRefresh>;
}

const toUnits = (ageMs: number): number => Math.max(0, Math.ceil(ageMs / AGE_UNIT_MS));

function packSource(claim: SourceStatus): z.infer<typeof packedSourceSchema> {
  const { confirmedAgeMs, completeRevision, digest } = claim;
  return [
    confirmedAgeMs === undefined ? -1 : toUnits(confirmedAgeMs),
    completeRevision ?? -1,
    digest,
  ];
}

function unpackSource([units, revision, digest]: z.infer<typeof packedSourceSchema>): SourceStatus {
  return {
    confirmedAgeMs: units < 0 ? undefined : units * AGE_UNIT_MS,
    completeRevision: revision < 0 ? undefined : revision,
    digest,
  };
}

const packState = ({ ageMs, state }: StateRefresh): number =>
  toUnits(ageMs) * STATE_FACTOR + STATES.indexOf(state);

function unpackState(idHash: number, packed: number): StateRefresh {
  return {
    idHash,
    ageMs: Math.floor(packed / STATE_FACTOR) * AGE_UNIT_MS,
    state: STATES[packed % STATE_FACTOR] ?? 'starting',
  };
}

function packReport({ idHash, ageMs, report }: ReportUpdate): ReadonlyArray<number> {
  const { memoryUsedTokens, memoryTotalTokens, running, waiting, preemptions, leaving } = report;
  const packedAge = toUnits(ageMs) * LEAVING_FACTOR + Number(leaving);
  return [idHash, packedAge, memoryUsedTokens, memoryTotalTokens, running, waiting, preemptions];
}

function unpackReport(
  numbers: ReadonlyArray<number>,
  models: ReadonlyMap<number, ReadonlyArray<string>>,
): ReportUpdate {
  const [idHash = 0, packedAge = 0, memoryUsedTokens = 0, memoryTotalTokens = 0] = numbers;
  const [, , , , running = 0, waiting = 0, preemptions = 0] = numbers;
  return {
    idHash,
    ageMs: Math.floor(packedAge / LEAVING_FACTOR) * AGE_UNIT_MS,
    report: {
      memoryUsedTokens,
      memoryTotalTokens,
      running,
      waiting,
      preemptions,
      leaving: packedAge % LEAVING_FACTOR === 1,
    },
    models: models.get(idHash),
  };
}

/** Splits a list into entries of the same length; an incomplete entry at the end is dropped. */
function splitEntries(
  numbers: ReadonlyArray<number>,
  length: number,
): ReadonlyArray<ReadonlyArray<number>> {
  return Array.from({ length: Math.floor(numbers.length / length) }, (_, index) =>
    numbers.slice(index * length, (index + 1) * length),
  );
}

const omitEmpty = <T>(list: T[]): T[] | undefined => (list.length > 0 ? list : undefined);

export function packGossipReply(reply: GossipReply): PackedGossipReply {
  const { nodeStates, stateRefreshes, reports, reportRefreshes } = reply;
  const lists = {
    N: omitEmpty(
      nodeStates.map((state): z.infer<typeof packedStateSchema> => [
        state.idHash,
        packState(state),
        Buffer.from(state.incarnation, 'hex'),
      ]),
    ),
    n: omitEmpty(stateRefreshes.flatMap((refresh) => [refresh.idHash, packState(refresh)])),
    R: omitEmpty(reports.flatMap(packReport)),
    m: omitEmpty(
      reports.flatMap(({ idHash, models }): Array<z.infer<typeof packedModelsSchema>> =>
        models ? [[idHash, [...models]]] : [],
      ),
    ),
    r: omitEmpty(
      reportRefreshes.flatMap(({ idHash, ageMs, leaving }) => [
        idHash,
        toUnits(ageMs) * LEAVING_FACTOR + Number(leaving),
      ]),
    ),
  };
  // Absent lists are left out of the object, which msgpack would otherwise write as undefined.
  const present = Object.entries(lists).filter(([, list]) => list !== undefined);
  return {
    s: reply.sequence,
    c: packSource(reply.configuration),
    v: packSource(reply.vmList),
    ...(Object.fromEntries(present) as Partial<typeof lists>),
  };
}

export function unpackGossipReply(packed: PackedGossipReply): GossipReply {
  const models = new Map(packed.m ?? []);
  return {
    sequence: packed.s,
    configuration: unpackSource(packed.c),
    vmList: unpackSource(packed.v),
    nodeStates: (packed.N ?? []).map(([idHash, state, incarnation]) => ({
      ...unpackState(idHash, state),
      incarnation: incarnationSchema.parse(Buffer.from(incarnation).toString('hex')),
    })),
    stateRefreshes: splitEntries(packed.n ?? [], REFRESH_LENGTH).map(([idHash = 0, state = 0]) =>
      unpackState(idHash, state),
    ),
    reports: splitEntries(packed.R ?? [], REPORT_LENGTH).map((entry) =>
      unpackReport(entry, models),
    ),
    reportRefreshes: splitEntries(packed.r ?? [], REFRESH_LENGTH).map(
      ([idHash = 0, packedAge = 0]) => ({
        idHash,
        ageMs: Math.floor(packedAge / LEAVING_FACTOR) * AGE_UNIT_MS,
        leaving: packedAge % LEAVING_FACTOR === 1,
      }),
    ),
  };
}

/** Asks for what one node has that another lacks, in three steps. @public */
export const pullRequestSchema = z.discriminatedUnion('ask', [
  z.strictObject({ ask: z.literal('digests'), source: z.enum(['configuration', 'vm-list']) }),
  z.strictObject({
    ask: z.literal('versions'),
    source: z.enum(['configuration', 'vm-list']),
    buckets: z.array(naturalSchema).max(256).readonly(),
  }),
  z.strictObject({ ask: z.literal('records'), keys: z.array(z.string()).max(1_024).readonly() }),
]);
export type PullRequest = z.infer<typeof pullRequestSchema>;

export const pullDigestsSchema = z.array(naturalSchema);

/** Key, revision and revision of the last good body (0 for none). */
export const pullVersionsSchema = z.array(z.tuple([z.string(), naturalSchema, naturalSchema]));
