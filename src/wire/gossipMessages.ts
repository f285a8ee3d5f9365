/**
 * Gossip messages by which nodes exchange state, in a compact encoding.
 *
 * Entries are encoded as lists of numbers, because msgpack encodes a small number in one byte. A VM
 * is identified by a 32-bit hash of its id. Ages are encoded in units of `AGE_UNIT_MS` and rounded
 * up, so that state never appears fresher than it is.
 */
import * as z from 'zod';
import { incarnationSchema, type EndpointReport, type Incarnation } from '../core';

/** Chosen so that one byte holds ages below 1.6 s together with the state. */
const AGE_UNIT_MS = 50;

const STATES = ['starting', 'serving', 'draining'] as const;

const STATE_FACTOR = 4;
const LEAVING_FACTOR = 2;

/** Number of values in an entry of each list. */
const REFRESH_LENGTH = 2;
const REPORT_LENGTH = 7;

const naturalSchema = z.number().int().min(0);

/** Requests the changes of a neighbour since its last acknowledged reply. @public */
export const gossipRequestSchema = z
  .strictObject({
    /** Sequence number of the last received reply; 0 for none. */
    ack: naturalSchema,
    /** Hashes of VMs for which only an age was received and no state is stored. */
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

/** The encoded form of a reply. @public */
export const packedGossipReplySchema = z.strictObject({
  s: naturalSchema,
  c: packedSourceSchema,
  v: packedSourceSchema,
  /** Node states: hash, age and state; and the incarnation. */
  N: z.array(packedStateSchema).optional(),
  /** Ages of node states that the neighbour has: hash, age and state. */
  n: z.array(naturalSchema).optional(),
  /** Reports, seven numbers each. */
  R: z.array(z.number()).optional(),
  /** Models of the reports whose models have changed. */
  m: z.array(packedModelsSchema).optional(),
  /** Ages of reports that the neighbour has: hash, age and whether the endpoint leaves. */
  r: z.array(naturalSchema).optional(),
});
export type PackedGossipReply = z.infer<typeof packedGossipReplySchema>;

/** State of a node's copy of one published source. @public */
export interface SourceStatus {
  readonly confirmedAgeMs: number | undefined;
  readonly completeRevision: number | undefined;
  readonly digest: number;
}

/** @public */
export type ReportedNodeState = (typeof STATES)[number];

/** The new age of a node state that the neighbour already has. @public */
export interface StateRefresh {
  readonly idHash: number;
  readonly ageMs: number;
  readonly state: ReportedNodeState;
}

/** @public */
export interface NodeStateUpdate extends StateRefresh {
  readonly incarnation: Incarnation;
}

/** The new age of a report that the neighbour already has. @public */
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
  /** Undefined when the neighbour already has the same models. */
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

const toAgeUnits = (ageMs: number): number => Math.max(0, Math.ceil(ageMs / AGE_UNIT_MS));

function packSource(status: SourceStatus): z.infer<typeof packedSourceSchema> {
  const { confirmedAgeMs, completeRevision, digest } = status;
  return [
    confirmedAgeMs === undefined ? -1 : toAgeUnits(confirmedAgeMs),
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
  toAgeUnits(ageMs) * STATE_FACTOR + STATES.indexOf(state);

function unpackState(idHash: number, packed: number): StateRefresh {
  return {
    idHash,
    ageMs: Math.floor(packed / STATE_FACTOR) * AGE_UNIT_MS,
    state: STATES[packed % STATE_FACTOR] ?? 'starting',
  };
}

function packReport({ idHash, ageMs, report }: ReportUpdate): ReadonlyArray<number> {
  const { memoryUsedTokens, memoryTotalTokens, running, waiting, preemptions, leaving } = report;
  const packedAge = toAgeUnits(ageMs) * LEAVING_FACTOR + Number(leaving);
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
        toAgeUnits(ageMs) * LEAVING_FACTOR + Number(leaving),
      ]),
    ),
  };
  // Omits empty lists from the object, because msgpack would encode them as undefined.
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

/** Pulls missing records from a node in three steps: bucket digests, versions, records. @public */
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

/** Key, revision, and revision of the last valid body (0 for none). */
export const pullVersionsSchema = z.array(z.tuple([z.string(), naturalSchema, naturalSchema]));
