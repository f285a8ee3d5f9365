/**
 * Stand-in of the weight store, whose concurrent downloads share one rate limit.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as z from 'zod';
import {
  parseControlBody,
  registerStandIn,
  StandIn,
  type StandInApp,
  type StandInOptions,
} from './StandIn';
import { TokenBucket } from './TokenBucket';

/** @public */
export interface WeightStoreOptions extends StandInOptions {
  /** Total rate of all downloads. */
  readonly bytesPerSecond?: number;
  /** Size of a model's weights. */
  readonly modelBytes?: number;
  readonly chunkBytes?: number;
}

/** @public */
export interface TransferCount {
  readonly started: number;
  readonly running: number;
  /** Largest number of concurrent downloads so far. */
  readonly mostRunning: number;
  readonly sentBytes: number;
}

const DEFAULTS = { bytesPerSecond: 10_000_000, modelBytes: 1_000_000, chunkBytes: 16_384 } as const;

/** @public */
export class WeightStore extends StandIn {
  static override readonly type = 'weight-store';

  static async start(options: WeightStoreOptions = {}): Promise<WeightStore> {
    const store = new WeightStore({ ...DEFAULTS, ...options });
    await store.listen(options.port);
    return store;
  }

  private count: TransferCount = { started: 0, running: 0, mostRunning: 0, sentBytes: 0 };

  private readonly bucket: TokenBucket;

  private constructor(private readonly options: Required<Omit<WeightStoreOptions, 'port'>>) {
    super();
    this.bucket = new TokenBucket(options.bytesPerSecond, options.chunkBytes);
  }

  get transfers(): TransferCount {
    return this.count;
  }

  protected mount(app: StandInApp): void {
    app.get('/v1/weights/:model', (context) => {
      const chunks = this.generateChunks();
      const body = new ReadableStream<Uint8Array>({
        pull: async (controller) => {
          const { value, done } = await chunks.next();
          if (done) controller.close();
          else controller.enqueue(value);
        },
        cancel: async () => {
          await chunks.return(undefined);
        },
      });
      return context.body(body, 200, {
        'content-type': 'application/octet-stream',
        'content-length': String(this.options.modelBytes),
      });
    });
    app.get('/control/transfers', (context) => context.json(this.count));
    app.post('/control/rate', async (context) => {
      const schema = z.object({ bytesPerSecond: z.number().positive() });
      this.bucket.setRate((await parseControlBody(context, schema)).bytesPerSecond);
      return context.json({});
    });
  }

  private async *generateChunks(): AsyncGenerator<Uint8Array, void> {
    const running = this.count.running + 1;
    const mostRunning = Math.max(this.count.mostRunning, running);
    this.count = { ...this.count, started: this.count.started + 1, running, mostRunning };
    try {
      const { modelBytes, chunkBytes } = this.options;
      for (let sentBytes = 0; sentBytes < modelBytes;) {
        const sizeBytes = Math.min(chunkBytes, modelBytes - sentBytes);
        await sleep(this.bucket.reserveDelayMs(sizeBytes));
        sentBytes += sizeBytes;
        this.count = { ...this.count, sentBytes: this.count.sentBytes + sizeBytes };
        yield new Uint8Array(sizeBytes);
      }
    } finally {
      this.count = { ...this.count, running: this.count.running - 1 };
    }
  }
}

registerStandIn(WeightStore);
