/**
 * What this node knows of the origins of streams, and the questions to other nodes.
 *
 * Each origin is sent to a few nodes as its stream begins, so that it outlives the node that forwards
 * the stream. Nothing of it outlives all nodes.
 */
import { ServingError, type CallerRequestId, type VmId } from '../../core';
import {
  chooseKeepers,
  decideOrigin,
  needsHistory,
  needsMissed,
  rankKeepers,
  type OriginEvidence,
  type OriginVerdict,
  type StreamOrigin,
  type VersionSightings,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  EndpointHistory,
  Members,
  Peers,
  StreamOrigins,
  type FoundOrigin,
  type ListedLately,
  type ResumedStream,
} from '../../services';
import { MissedChanges } from './MissedChanges';
import { ORIGINS_OPTIONS } from './options';
import {
  FIND_MESSAGE,
  RECORD_MESSAGE,
  replySchema,
  type OriginRecord,
  type OriginReply,
} from './originMessages';
import { OriginTable } from './OriginTable';
import { PastEndpoints } from './PastEndpoints';
import { summarizeVersions } from './summarizeVersions';
import { VersionHistory } from './VersionHistory';

/** A node that doesn't say how old its list is vouches for no time. */
function toSightings({
  versions,
  coveredForMs,
  listAgeMs = Infinity,
}: OriginReply): VersionSightings {
  return { versions, coveredForMs, listAgeMs };
}

/** @internal */
export class FleetOrigins extends StreamOrigins {
  private readonly table = new OriginTable();

  private readonly history = new VersionHistory();

  private readonly missed: MissedChanges;

  private readonly past: PastEndpoints;

  constructor(private readonly kernel: Kernel) {
    super();
    this.missed = new MissedChanges(kernel);
    this.past = new PastEndpoints(kernel);
  }

  get recordCount(): number {
    return this.table.size;
  }

  /** Notes the versions of the endpoints that are listed now. */
  observe(): void {
    const { clock } = this.kernel;
    const deployment = this.kernel.get(Deployment);
    const isCurrent =
      deployment.configuration !== undefined &&
      deployment.getConfirmedAgeMs() <= ORIGINS_OPTIONS.maxGapMs;
    this.history.observe(deployment.listAll(), {
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
      isCurrent,
      listGaps: deployment.listGaps,
    });
  }

  override record(firstRequestId: CallerRequestId, origin: StreamOrigin): void {
    this.table.add(firstRequestId, origin);
    const record: OriginRecord = { firstRequestId, origin };
    chooseKeepers(firstRequestId, this.listOthers()).forEach((vmId) =>
      this.kernel.get(Peers).send(vmId, RECORD_MESSAGE, record),
    );
  }

  /** Keeps an origin for the node that forwards the stream. */
  keep({ firstRequestId, origin }: OriginRecord): void {
    this.table.add(firstRequestId, origin);
  }

  override async find(stream: ResumedStream): Promise<FoundOrigin> {
    const own = this.answer(stream);
    const asked = this.mayBeRecorded(stream, own) ? this.listKeepers(stream) : [];
    const replies = await this.askOthers(asked, stream);
    const evidence = this.toEvidence(stream, own, replies);
    const isReadNeeded = needsMissed(evidence);
    const missed = isReadNeeded ? await this.missed.read() : undefined;
    const verdict = isReadNeeded
      ? await this.decide(stream, replies, missed)
      : decideOrigin(evidence);
    const knowledge = {
      listAgeMs: own.listAgeMs ?? Infinity,
      followedForMs: own.coveredForMs,
      asked: asked.length,
      answered: replies.length,
      areMissedRead: isReadNeeded ? missed !== undefined : undefined,
    };
    return { verdict, knowledge };
  }

  /** Decides by what is known after the changes that this node hadn't heard of were read. */
  private async decide(
    stream: ResumedStream,
    replies: ReadonlyArray<OriginReply>,
    missed: ListedLately | undefined,
  ): Promise<OriginVerdict> {
    // Changes that this node has heard of in the meantime are no longer among those that it missed.
    const own = this.answer(stream);
    const evidence = this.toEvidence(stream, own, replies, missed);
    if (!needsHistory(evidence)) return decideOrigin(evidence);
    const history = await this.past.describe(stream.service, this.history.followedSinceMs);
    return decideOrigin({ ...evidence, history });
  }

  /** Answers by what this node knows. */
  answer({ firstRequestId, service, windowMs }: ResumedStream): OriginReply {
    this.observe();
    const listAgeMs = this.kernel.get(Deployment).getConfirmedAgeMs();
    return {
      origin: firstRequestId === undefined ? undefined : this.table.find(firstRequestId),
      listAgeMs: Number.isFinite(listAgeMs) ? listAgeMs : undefined,
      ...this.history.describe(service, windowMs, this.kernel.clock.nowMs()),
    };
  }

  /** Without the id of its first attempt, others can only tell for how long they followed the list. */
  private mayBeRecorded(
    { firstRequestId, windowMs }: ResumedStream,
    { origin, coveredForMs }: OriginReply,
  ): boolean {
    if (origin) return false;
    return firstRequestId !== undefined || coveredForMs < windowMs;
  }

  private toEvidence(
    { service, windowMs }: ResumedStream,
    own: OriginReply,
    replies: ReadonlyArray<OriginReply>,
    missed?: ListedLately,
  ): OriginEvidence {
    const deployment = this.kernel.get(Deployment);
    return {
      service,
      windowMs,
      records: [own, ...replies].flatMap(({ origin }) => origin ?? []),
      own: toSightings(own),
      others: replies.map(toSightings),
      missed: missed && summarizeVersions(missed, service, deployment),
      newestStartAgeMs: this.getNewestStartAgeMs(service, missed),
      historyLostAgeMs: this.kernel.get(EndpointHistory).getLostAgeMs(),
      history: undefined,
    };
  }

  private getNewestStartAgeMs(service: string, missed: ListedLately | undefined): number {
    const startedAtMs = [...this.kernel.get(Deployment).listAll(), ...(missed?.backEnds ?? [])]
      .filter((backEnd) => backEnd.service === service)
      .map(({ startedAtWallMs }) => startedAtWallMs);
    return this.kernel.clock.wallMs() - Math.max(...startedAtMs);
  }

  private listKeepers({ firstRequestId }: ResumedStream): ReadonlyArray<VmId> {
    return rankKeepers(firstRequestId ?? '', this.listOthers());
  }

  /** Returns the first answer that has the origin, or else all that come in time. */
  private async askOthers(
    asked: ReadonlyArray<VmId>,
    stream: ResumedStream,
  ): Promise<ReadonlyArray<OriginReply>> {
    const replies: OriginReply[] = [];
    const answers = asked.map(async (vmId) => {
      const reply = await this.ask(vmId, stream);
      if (reply) replies.push(reply);
      if (!reply?.origin) throw new Error('The origin is not known there.');
    });
    await Promise.any(answers).catch(() => {});
    return replies;
  }

  private async ask(vmId: VmId, stream: ResumedStream): Promise<OriginReply | undefined> {
    const deadlineMs = this.kernel.clock.nowMs() + ORIGINS_OPTIONS.askTimeoutMs;
    try {
      const reply = await this.kernel.get(Peers).call(vmId, FIND_MESSAGE, stream, deadlineMs);
      return replySchema.parse(reply);
    } catch (thrown) {
      this.kernel.log.info('stream origin not answered', {
        requestId: stream.firstRequestId,
        member: vmId,
        cause: ServingError.from(thrown),
      });
      return undefined;
    }
  }

  private listOthers(): ReadonlyArray<VmId> {
    return this.kernel
      .get(Members)
      .listLive()
      .map(({ vmId }) => vmId);
  }
}
