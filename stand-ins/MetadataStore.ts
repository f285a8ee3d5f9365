/**
 * Stand-in of the platform's metadata store: keys and values under one revision counter, with reads
 * and watches by key prefix.
 */
import { ChangeSignal } from './ChangeSignal';
import { resetConnection, StandIn, type StandInApp, type StandInContext } from './StandIn';

interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  /** Base64; absent when the key was deleted. */
  readonly value?: string;
  readonly deleted?: true;
}

/** What the store held at one time, from which it can be restored. @public */
export interface StoreCopy {
  readonly history: ReadonlyArray<StoreEvent>;
  readonly revision: number;
}

/** How the store responds to calls. @public */
export type StoreBehaviour = 'answer' | 'reset' | 'unavailable' | 'silent';

const PAGE_SIZE = 3;

/** Revision of the first change. */
const FIRST_REVISION = 2;

/** An item whose key is no string is listed among the entries. */
function hasPrefix(key: unknown, prefix: string): boolean {
  return (typeof key === 'string' ? key : 'servers/').startsWith(prefix);
}

/** @public */
export class MetadataStore extends StandIn {
  static override readonly type = 'metadata-store';

  behaviour: StoreBehaviour = 'answer';

  /** Body of all answers, as of a faulty store. */
  oddBody: string | undefined;

  /** Whether watches that wait hear of nothing and are not answered, while other calls are. */
  holdsWatches = false;

  calls = 0;

  /** Called at each call, before it is answered. */
  onCall: () => void = () => {};

  private history: ReadonlyArray<StoreEvent> = [];

  private revision = FIRST_REVISION - 1;

  private compactedRevision = 0;

  private era = 1;

  private readonly changed = new ChangeSignal();

  static async start(): Promise<MetadataStore> {
    const store = new MetadataStore();
    await store.listen();
    return store;
  }

  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.append({ key, value: Buffer.from(text).toString('base64') });
  }

  /** Adds an item as another writer or a faulty store may leave it; its fields may be of any type. */
  putItem(item: Readonly<Record<string, unknown>>): void {
    this.append(item as unknown as StoreEvent);
  }

  remove(key: string): void {
    this.append({ key, deleted: true });
  }

  /** Compacts the history: watches from an earlier revision are refused and have to read anew. */
  compact(): void {
    this.compactedRevision = this.revision;
  }

  createCopy(): StoreCopy {
    return { history: this.history, revision: this.revision };
  }

  /** Loses what was written since the copy, and gives its revisions out again in a new era. */
  restore({ history, revision }: StoreCopy): void {
    this.history = history;
    this.revision = revision;
    this.era += 1;
    this.changed.notify();
  }

  protected override mount(app: StandInApp): void {
    app.get('/api/kv-range', async (context) => this.respond(context, () => this.range(context)));
    app.get('/api/kv-watch', async (context) =>
      this.respond(context, async () => this.watch(context)),
    );
  }

  private append(event: Omit<StoreEvent, 'revision'> & Partial<StoreEvent>): void {
    this.revision += 1;
    this.history = [...this.history, { revision: this.revision, ...event }];
    this.changed.notify();
  }

  private async respond(
    context: StandInContext,
    createResponse: () => Response | Promise<Response>,
  ): Promise<Response> {
    this.calls += 1;
    this.onCall();
    if (this.behaviour === 'reset') resetConnection(context.env.incoming);
    if (this.behaviour === 'reset' || this.behaviour === 'silent') {
      return new Promise<Response>(() => {});
    }
    const isUnavailable = this.behaviour === 'unavailable';
    const response = isUnavailable
      ? context.body(null, 503)
      : await this.createAnswer(context, createResponse);
    // Set last: the store may have been restored while a watch waited.
    response.headers.set('Store-Era', String(this.era));
    return response;
  }

  private async createAnswer(
    context: StandInContext,
    createResponse: () => Response | Promise<Response>,
  ): Promise<Response> {
    return this.oddBody === undefined ? createResponse() : context.body(this.oddBody, 200);
  }

  private range(context: StandInContext): Response {
    const { prefix = '', after = '' } = context.req.query();
    const newest = new Map(this.history.map((event) => [event.key, event]));
    const matching = [...newest.values()]
      .filter(({ key, deleted }) => !deleted && hasPrefix(key, prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, PAGE_SIZE);
    const hasMore = matching.length > items.length;
    return context.json({ items, hasMore, storeRevision: this.revision });
  }

  private async watch(context: StandInContext): Promise<Response> {
    const { prefix = '', after = '0', waitMs = '0' } = context.req.query();
    const deadlineMs = performance.now() + Number(waitMs);
    for (;;) {
      while (this.holdsWatches && Number(waitMs) > 0 && !this.stopping.signal.aborted) {
        await this.changed.wait(Infinity, this.stopping.signal);
      }
      if (Number(after) < this.compactedRevision || Number(after) > this.revision) {
        return context.json({ error: 'not in the history' }, 410);
      }
      const events = this.history.filter(
        ({ key }, index) => index + FIRST_REVISION > Number(after) && hasPrefix(key, prefix),
      );
      const remainingMs = deadlineMs - performance.now();
      if (events.length > 0 || remainingMs <= 0) {
        return context.json({ events, storeRevision: this.revision });
      }
      await this.changed.wait(remainingMs, this.stopping.signal);
    }
  }
}
