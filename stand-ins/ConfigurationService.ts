/**
 * Stand-in of the configuration service: records under one revision counter, for reads and watches.
 *
 * The service protocol is read-only; records change only through the control paths.
 */
import * as z from 'zod';
import type { PublishedRecord } from '../src/core';
import { ChangeSignal } from './ChangeSignal';
import {
  parseControlBody,
  registerStandIn,
  StandIn,
  type StandInApp,
  type StandInContext,
  type StandInOptions,
} from './StandIn';
import { TokenBucket } from './TokenBucket';

/** @public */
export interface ConfigurationServiceOptions extends StandInOptions {
  /** Rate limit for all readers together; a waiting watch counts as one call per second. */
  readonly callsPerSecond?: number;
  /** Largest value that the service accepts. */
  readonly maxValueBytes?: number;
}

/** @public */
export interface CallCount {
  readonly reads: number;
  readonly watches: number;
  /** Calls rejected by the rate limit. */
  readonly limited: number;
  readonly waitingWatches: number;
}

/** Response to a read or a watch. @public */
export interface ConfigurationPage {
  readonly revision: number;
  readonly records: ReadonlyArray<PublishedRecord>;
  readonly more: boolean;
}

interface PageQuery {
  readonly prefix: string;
  readonly after: number;
  readonly limit: number;
}

const DEFAULTS = { callsPerSecond: 2_000, maxValueBytes: 1_000_000, pageSize: 1_000 } as const;

function readQuery(context: StandInContext): PageQuery {
  return {
    prefix: context.req.query('prefix') ?? '',
    after: Number(context.req.query('after') ?? 0),
    limit: Math.max(1, Number(context.req.query('limit') ?? DEFAULTS.pageSize)),
  };
}

/** @public */
export class ConfigurationService extends StandIn {
  static override readonly type = 'configuration-service';

  static async start(options: ConfigurationServiceOptions = {}): Promise<ConfigurationService> {
    const service = new ConfigurationService(options);
    await service.listen(options.port);
    return service;
  }

  /** All changes so far, so that reads can be served as of an older revision. */
  private changes: ReadonlyArray<PublishedRecord> = [];

  private isDown = false;

  private staleRevision: number | undefined;

  private count: CallCount = { reads: 0, watches: 0, limited: 0, waitingWatches: 0 };

  private callsPerSecond: number;

  private readonly maxValueBytes: number;

  private readonly bucket: TokenBucket;

  private readonly changed = new ChangeSignal();

  private constructor(options: ConfigurationServiceOptions) {
    super();
    this.callsPerSecond = options.callsPerSecond ?? DEFAULTS.callsPerSecond;
    this.maxValueBytes = options.maxValueBytes ?? DEFAULTS.maxValueBytes;
    this.bucket = new TokenBucket(this.callsPerSecond, this.callsPerSecond);
  }

  get revision(): number {
    return this.changes.length;
  }

  get calls(): CallCount {
    return this.count;
  }

  /** Sets the value of a key, or deletes the key with null, and returns the new revision. */
  put(key: string, body: string | null): number {
    if (body !== null && Buffer.byteLength(body) > this.maxValueBytes) {
      throw new RangeError(`the value of ${key} is larger than ${this.maxValueBytes} bytes`);
    }
    this.changes = [...this.changes, { key, revision: this.revision + 1, body }];
    this.changed.notify();
    return this.revision;
  }

  /** While down, all reads and watches get 503. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.changed.notify();
  }

  /** Serves the state as of an older revision; undefined returns to the newest. */
  setStale(revision: number | undefined): void {
    this.staleRevision = revision;
    this.changed.notify();
  }

  setRate(callsPerSecond: number): void {
    this.callsPerSecond = callsPerSecond;
    this.updateRate();
  }

  protected mount(app: StandInApp): void {
    app.get('/v1/records', (context) => {
      if (!this.bucket.tryAcquire(1)) return this.rejectOverLimit(context);
      this.count = { ...this.count, reads: this.count.reads + 1 };
      return this.respond(context, readQuery(context));
    });
    app.get('/v1/watch', async (context) => {
      if (!this.bucket.tryAcquire(1)) return this.rejectOverLimit(context);
      this.count = { ...this.count, watches: this.count.watches + 1 };
      const query = readQuery(context);
      await this.waitForChange(query, Number(context.req.query('waitMs') ?? 0), context);
      return this.respond(context, query);
    });
    this.mountControl(app);
  }

  private mountControl(app: StandInApp): void {
    app.put('/control/records/*', async (context) => {
      const key = decodeURIComponent(context.req.path.slice('/control/records/'.length));
      return context.json({ revision: this.put(key, await context.req.text()) });
    });
    app.delete('/control/records/*', (context) => {
      const key = decodeURIComponent(context.req.path.slice('/control/records/'.length));
      return context.json({ revision: this.put(key, null) });
    });
    app.post('/control/down', async (context) => {
      this.setDown((await parseControlBody(context, z.object({ down: z.boolean() }))).down);
      return context.json({});
    });
    app.post('/control/stale', async (context) => {
      const { revision } = await parseControlBody(
        context,
        z.object({ revision: z.int().nullable() }),
      );
      this.setStale(revision ?? undefined);
      return context.json({});
    });
    app.post('/control/rate', async (context) => {
      const schema = z.object({ callsPerSecond: z.number().positive() });
      this.setRate((await parseControlBody(context, schema)).callsPerSecond);
      return context.json({});
    });
    app.get('/control/calls', (context) => context.json(this.count));
  }

  private get visibleRevision(): number {
    return Math.min(this.revision, this.staleRevision ?? Infinity);
  }

  private findChanges({ prefix, after }: PageQuery): ReadonlyArray<PublishedRecord> {
    const newest = new Map<string, PublishedRecord>();
    this.changes
      .slice(0, this.visibleRevision)
      .filter(({ key }) => key.startsWith(prefix))
      .forEach((record) => newest.set(record.key, record));
    return [...newest.values()]
      .filter(({ revision }) => revision > after)
      .sort((a, b) => a.revision - b.revision);
  }

  private readPage(query: PageQuery): ConfigurationPage {
    const found = this.findChanges(query);
    const records = found.slice(0, query.limit);
    const more = records.length < found.length;
    const last = records.at(-1);
    return { revision: more && last ? last.revision : this.visibleRevision, records, more };
  }

  private async waitForChange(
    query: PageQuery,
    waitMs: number,
    context: StandInContext,
  ): Promise<void> {
    const deadlineMs = performance.now() + waitMs;
    const signal = AbortSignal.any([this.stopping.signal, context.req.raw.signal]);
    this.adjustWaitingWatches(1);
    while (!this.isDown && !signal.aborted && this.findChanges(query).length === 0) {
      const remainingMs = deadlineMs - performance.now();
      if (remainingMs <= 0) break;
      await this.changed.wait(remainingMs, signal);
    }
    this.adjustWaitingWatches(-1);
  }

  private adjustWaitingWatches(delta: number): void {
    const waitingWatches = this.count.waitingWatches + delta;
    this.count = { ...this.count, waitingWatches };
    this.updateRate();
  }

  private updateRate(): void {
    this.bucket.setRate(Math.max(0, this.callsPerSecond - this.count.waitingWatches));
  }

  private respond(context: StandInContext, query: PageQuery): Response {
    if (this.isDown) return context.json({ error: 'down' }, 503);
    return context.json(this.readPage(query));
  }

  private rejectOverLimit(context: StandInContext): Response {
    this.count = { ...this.count, limited: this.count.limited + 1 };
    return context.json({ error: 'rate limit exceeded' }, 429, { 'retry-after': '1' });
  }
}

registerStandIn(ConfigurationService);
