/**
 * Plug-in that remembers at which software version streams began, together with the other nodes.
 */
import type { z } from 'zod';
import { Plugin, registerPlugin } from '../../kernel';
import {
  GaugeSource,
  PeerHandler,
  StreamOrigins,
  type GaugeReading,
  type Peer,
} from '../../services';
import { FleetOrigins } from './FleetOrigins';
import { ORIGINS_OPTIONS } from './options';
import {
  FIND_MESSAGE,
  questionSchema,
  RECORD_MESSAGE,
  recordSchema,
  type OriginReply,
} from './originMessages';

class RecordHandler extends PeerHandler<typeof recordSchema> {
  readonly type = RECORD_MESSAGE;

  readonly schema = recordSchema;

  constructor(private readonly origins: FleetOrigins) {
    super();
  }

  async handle(_from: Peer, record: z.infer<typeof recordSchema>): Promise<undefined> {
    this.origins.keep(record);
  }
}

class FindHandler extends PeerHandler<typeof questionSchema> {
  readonly type = FIND_MESSAGE;

  readonly schema = questionSchema;

  constructor(private readonly origins: FleetOrigins) {
    super();
  }

  async handle(
    _from: Peer,
    { firstRequestId, service, windowMs }: z.infer<typeof questionSchema>,
  ): Promise<OriginReply> {
    return this.origins.answer({ firstRequestId, service, windowMs });
  }
}

class OriginGauges extends GaugeSource {
  constructor(private readonly origins: FleetOrigins) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    return [
      {
        name: 'known_stream_origins',
        help: 'Streams of which this node remembers the software version at which they began.',
        value: this.origins.recordCount,
      },
    ];
  }
}

/** @internal */
export class OriginsPlugin extends Plugin {
  static override readonly type = 'origins';

  private readonly origins = new FleetOrigins(this.kernel);

  override setUp(): void {
    const { kernel, origins } = this;
    kernel.provide(StreamOrigins, origins);
    kernel.provide(PeerHandler, new RecordHandler(origins));
    kernel.provide(PeerHandler, new FindHandler(origins));
    kernel.provide(GaugeSource, new OriginGauges(origins));
  }

  override async start(): Promise<void> {
    this.kernel.runTask('note software versions', async (signal) => {
      while (!signal.aborted) {
        this.origins.observe();
        await this.kernel.clock.sleep(ORIGINS_OPTIONS.observeIntervalMs, signal);
      }
    });
  }
}

registerPlugin(OriginsPlugin);
