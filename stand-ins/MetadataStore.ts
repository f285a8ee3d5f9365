/**
 * Stand-in of the platform's metadata store: items under one revision counter, read by prefix and
 * watched.
 */
import { ChangeSignal } from './ChangeSignal';
import { resetConnection, StandIn, type StandInApp, type StandInContext } from './StandIn';

interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  /** Base64; absent for a removal. */
  readonly value?: string;
  readonly deleted?: true;
}

/** What the store does with calls. @public */
export type StoreBehaviour = 'answer' | 'reset' | 'unavailable' | 'silent';

const PAGE_ITEMS = 3;

/** @public */
export class MetadataStore extends StandIn {
  static override readonly type = 'metadata-store';

  behaviour: StoreBehaviour = 'answer';

  calls = 0;

  private history: ReadonlyArray<StoreEvent> = [];

  private revision = 1;

  private oldestRevision = 0;

  private readonly changed = new ChangeSignal();

  static async start(): Promise<MetadataStore> {
    const store = new MetadataStore();
    await store.listen();
    return store;
  }

  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.add({ key, value: Buffer.from(text).toString('base64') });
  }

  remove(key: string): void {
    this.add({ key, deleted: true });
  }

  /** Drops the history; watches from before have to read everything again. */
  compact(): void {
    this.oldestRevision = this.revision;
  }

  protected override mount(app: StandInApp): void {
    app.get('/api/kv-range', async (context) => this.answer(context, () => this.range(context)));
    app.get('/api/kv-watch', async (context) =>
      this.answer(context, async () => this.watch(context)),
    );
  }

  private add(event: Omit<StoreEvent, 'revision'>): void {
    this.revision += 1;
    this.history = [...this.history, { ...event, revision: this.revision }];
    this.changed.notify();
  }

  private async answer(
    context: StandInContext,
    respond: () => Response | Promise<Response>,
  ): Promise<Response> {
    this.calls += 1;
    if (this.behaviour === 'unavailable') return context.body(null, 503);
    if (this.behaviour === 'reset') resetConnection(context.env.incoming);
    if (this.behaviour !== 'answer') return new Promise<Response>(() => {});
    return respond();
  }

  private range(context: StandInContext): Response {
    const { prefix = '', after = '' } = context.req.query();
    const newest = new Map(this.history.map((event) => [event.key, event]));
    const matching = [...newest.values()]
      .filter(({ key, deleted }) => !deleted && key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, PAGE_ITEMS);
    const hasMore = matching.length > items.length;
    return context.json({ items, hasMore, storeRevision: this.revision });
  }

  private async watch(context: StandInContext): Promise<Response> {
    const { prefix = '', after = '0', waitMs = '0' } = context.req.query();
    const deadlineMs = performance.now() + Number(waitMs);
    for (;;) {
      if (Number(after) < this.oldestRevision) return context.json({ error: 'compacted' }, 410);
      const events = this.history.filter(
        ({ key, revision }) => revision > Number(after) && key.startsWith(prefix),
      );
      const leftMs = deadlineMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return context.json({ events, storeRevision: this.revision });
      }
      await this.changed.wait(leftMs, this.stopping.signal);
    }
  }
}
