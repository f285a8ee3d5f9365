/**
 * Stand-in of an engine or service instance that implements the platform's endpoint protocol: check
 * of the expected instance, load shedding, numbered event streams, KV cache copies of runs, and
 * continuation of runs from such copies.
 */
import type { Socket } from 'node:net';
import { EngineRoom, type EnginePlace, type RoomOptions } from './EngineRoom';
import { resetConnection, StandIn, type StandInApp, type StandInContext } from './StandIn';

/** A request as received by the engine. @public */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Monotonic time of the arrival. */
  readonly receivedAtMs: number;
}

/** `shed` doesn't name the request that it refuses, `refuse` does. @public */
export type EngineBehaviour =
  'answer' | 'shed' | 'refuse' | 'fail' | 'reset' | 'silent' | 'crossed' | 'unsigned' | 'crash';

/** @public */
export interface PlatformEngineOptions {
  readonly instanceId: string;
  readonly events?: number;
  readonly eventIntervalMs?: number;
  /** Duration of a call. */
  readonly callMs?: number;
  /** Part of a prompt under which the engine crashes when it begins to write the answer. */
  readonly deadlyPart?: string;
  /** Version of the software, which the engine then writes into each event. */
  readonly softwareVersion?: string;
  /** Whether each event names the request that it answers. */
  readonly namesRequests?: boolean;
  /** Whether the engine crashes when it begins to run a request. */
  readonly isDeadly?: (request: ReceivedRequest) => boolean;
  /** Time that a copy of a run takes. */
  readonly copyDelayMs?: number;
  /** Whether streams have neither a length nor chunks, and end with their connection. */
  readonly isUnframed?: boolean;
  /** Whether streams begin before the body of their request was read. */
  readonly answersEarly?: boolean;
  /** Unlimited by default. */
  readonly room?: RoomOptions;
}

/** Time between the head of an answer and the crash that its request causes. */
const CRASH_DELAY_MS = 50;

function hasPart(headers: Readonly<Record<string, string>>, part: string | undefined): boolean {
  const parts = headers['x-bramleyvane-prompt-prefix']?.split(',') ?? [];
  return part !== undefined && parts.some((each) => each.split(':')[0] === part);
}

async function pause(delayMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

const SEAL_HEADER = 'X-Bramleyvane-Server-Seal';
const REQUEST_ID_HEADER = 'X-Bramleyvane-Request-Id';

/** Header values are UTF-8; the server takes and gives them byte by byte. */
function decodeHeader(value = ''): string {
  return Buffer.from(value, 'latin1').toString('utf8');
}

function encodeHeader(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Has a request give up its place when its connection closes, as with most engines. */
function holdWhileOpen({ started, leave }: EnginePlace, socket: Socket): EnginePlace {
  const leaveOnce = (): void => {
    socket.off('close', leaveOnce);
    leave();
  };
  socket.once('close', leaveOnce);
  return { started, leave: leaveOnce };
}

interface Run {
  producedEvents: number;
  isStopped: boolean;
  readonly abort: () => void;
}

/** Registers a KV cache copy with another engine; an unreachable engine is ignored. */
async function sendCopy(address: string, handle: string): Promise<void> {
  await fetch(`http://${address}/control/copies`, { method: 'POST', body: handle }).catch(() => {});
}

/** @public */
export class PlatformEngine extends StandIn {
  static override readonly type = 'platform-engine';

  behaviour: EngineBehaviour = 'answer';

  /** Chooses the behaviour for one request; undefined leaves it to `behaviour`. */
  chooseBehaviour: (request: ReceivedRequest) => EngineBehaviour | undefined = () => undefined;

  receivedRequests: ReadonlyArray<ReceivedRequest> = [];

  /** Requests that were executed, in order. */
  executedRequests: ReadonlyArray<ReceivedRequest> = [];

  /** Handles of the KV cache copies that other engines sent here. */
  readonly copies = new Set<string>();

  /** Ids of the requests under which the engine crashed. */
  deadlyRequestIds: ReadonlyArray<string> = [];

  /** Called when the engine crashes because of a request. */
  onCrash: () => void = () => {};

  /** Value of the header that tells in all answers that the engine is leaving; absent by default. */
  leavingHeader: string | undefined;

  /** Number of orders to copy a run that were received. */
  copyOrders = 0;

  /** Value of the header that tells for how much longer the engine is cold. */
  coldHeader: string | undefined;

  /** Value of the header that names the requests a second that the engine takes from all nodes. */
  limitHeader: string | undefined;

  /** Value of the header that names the rejections a second that the engine survives. */
  brittleHeader: string | undefined;

  /** Number of copy requests that are still to be refused. */
  copiesToRefuse = 0;

  /** Whether orders to stop a run and copy the rest get no answer, and the run goes on. */
  ignoresFinalCopies = false;

  /** Whether runs that come with a copy are refused, as if the copy were gone. */
  refusesCopies = false;

  /** Time until a run that continues after an event is answered or refused. */
  continuationDelayMs = 0;

  /** Slots and waiting requests, and whether the engine is brittle. */
  readonly room: EngineRoom;

  private endSilence = (): void => {};

  /** Resolves when the silence ends; a silence that was not given a duration lasts. */
  private awake = new Promise<void>(() => {});

  private readonly running = new Map<string, Run>();

  private constructor(private readonly options: PlatformEngineOptions) {
    super();
    this.room = new EngineRoom(options.room ?? { slots: Infinity, waiting: 0 }, () =>
      this.running.forEach(({ abort }) => abort()),
    );
  }

  static async start(options: PlatformEngineOptions): Promise<PlatformEngine> {
    const engine = new PlatformEngine(options);
    await engine.listen();
    return engine;
  }

  get address(): string {
    return this.url.replace('http://', '');
  }

  /** Creates the entry under which the metadata store lists this engine. */
  createEntry(service: string, changes: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      service,
      address: this.address,
      zone: 'brisbane',
      slots: 4,
      state: 'ready',
      coldRemainingMs: 0,
      born: 1,
      version: this.options.softwareVersion,
      ...changes,
    };
  }

  /** Stalls all streams without closing them, as a network failure would. */
  goSilent(): void {
    this.behaviour = 'silent';
  }

  /** Stalls all streams and new requests for a time, then goes on with them. */
  goSilentFor(silentMs: number): void {
    if (this.behaviour !== 'silent') {
      this.awake = new Promise((resolve) => {
        this.endSilence = resolve;
      });
    }
    this.behaviour = 'silent';
    setTimeout(() => this.wake(), silentMs).unref();
  }

  /** Ends a silence that was to last for a time. */
  wake(): void {
    if (this.behaviour !== 'silent') return;
    this.behaviour = 'answer';
    this.endSilence();
  }

  get executedRequestIds(): ReadonlyArray<string> {
    return this.executedRequests.map(({ requestId }) => requestId);
  }

  /** Number of runs whose connection is open. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Resets all streams, as a crash of the process would. */
  crash(): void {
    this.behaviour = 'reset';
    this.running.forEach(({ abort }) => abort());
  }

  /** Stops all runs and closes their connections, as the end of the process would. */
  endRuns(): void {
    this.running.forEach((run) => {
      const ended = run;
      ended.isStopped = true;
    });
  }

  protected override mount(app: StandInApp): void {
    app.use('*', async (context, next) => {
      await next();
      if (this.leavingHeader !== undefined) {
        context.res.headers.set('Server-Leaving', this.leavingHeader);
      }
      if (this.limitHeader !== undefined) {
        context.res.headers.set('Server-Limit', this.limitHeader);
      }
      const { header: brittleHeader = this.brittleHeader } = this.room;
      if (brittleHeader !== undefined) {
        context.res.headers.set('Server-Brittle', brittleHeader);
      }
      if (this.coldHeader !== undefined) {
        context.res.headers.set('X-Bramleyvane-Cold-Ms', this.coldHeader);
      }
    });
    app.post('/api/kv-move', async (context) => this.copyRun(context));
    app.post('/control/copies', async (context) => {
      this.copies.add(await context.req.text());
      return context.body(null, 204);
    });
    app.all('*', async (context) => this.serve(context));
  }

  private async serve(context: StandInContext): Promise<Response> {
    const headers = context.req.header();
    const requestId = headers['x-bramleyvane-request-id'] ?? '';
    const { method, url = '' } = context.env.incoming;
    if (this.options.answersEarly && headers['kv-from'] === undefined) {
      void context.req.text().catch(() => {});
      const head = { [REQUEST_ID_HEADER]: requestId, [SEAL_HEADER]: 'seal-early' };
      return this.stream(context, requestId, head);
    }
    const received = {
      requestId,
      method: method ?? '',
      target: url,
      headers,
      body: await context.req.text(),
      receivedAtMs: performance.now(),
    };
    this.receivedRequests = [...this.receivedRequests, received];
    const { instanceId } = this.options;
    if (decodeHeader(headers['x-bramleyvane-expect-instance']) !== instanceId) {
      return context.body(null, 421, { 'X-Bramleyvane-Instance-Id': encodeHeader(instanceId) });
    }
    const behaviour = this.room.isDown
      ? 'reset'
      : (this.chooseBehaviour(received) ?? this.behaviour);
    if (behaviour === 'shed') {
      return context.body(null, 503, { 'X-Bramleyvane-Not-Executed': '1' });
    }
    if (behaviour === 'refuse') {
      const head = { 'X-Bramleyvane-Not-Executed': '1', [REQUEST_ID_HEADER]: requestId };
      return context.body(null, 503, head);
    }
    if (behaviour === 'crash') void this.stop();
    if (behaviour === 'reset') resetConnection(context.env.incoming);
    if (['reset', 'crash'].includes(behaviour)) return new Promise(() => {});
    if (behaviour === 'silent') await this.awake;
    if (headers['last-event-id'] !== undefined) await pause(this.continuationDelayMs);
    if (context.env.incoming.socket.destroyed) return new Promise(() => {});
    if (!this.takeCopy(headers)) {
      return context.body(null, 503, { 'X-Bramleyvane-Not-Executed': '1' });
    }
    const place = this.room.enter();
    if (!place && this.room.isDown) {
      resetConnection(context.env.incoming);
      return new Promise(() => {});
    }
    if (!place) {
      const head = { 'X-Bramleyvane-Not-Executed': '1', [REQUEST_ID_HEADER]: requestId };
      return context.body(null, 503, head);
    }
    const held = holdWhileOpen(place, context.env.incoming.socket);
    await held.started;
    return this.run(context, received, held);
  }

  private async run(
    context: StandInContext,
    received: ReceivedRequest,
    place: EnginePlace,
  ): Promise<Response> {
    const { requestId } = received;
    this.executedRequests = [...this.executedRequests, received];
    const responseRequestId = this.behaviour === 'crossed' ? 'another-request' : requestId;
    const head: Record<string, string> = { [REQUEST_ID_HEADER]: responseRequestId };
    if (this.behaviour !== 'unsigned') {
      head[SEAL_HEADER] = `seal-${encodeHeader(this.options.instanceId)}`;
    }
    if (this.behaviour === 'fail') {
      place.leave();
      return context.body('failed', 500, head);
    }
    const isDeadly = this.isDeadly(received);
    if (isDeadly && this.options.events === undefined) {
      void this.crashUnder(requestId);
      return new Promise(() => {});
    }
    if (this.options.callMs !== undefined) {
      await pause(this.options.callMs);
    }
    // The server writes headers before a text as UTF-8, and before bytes as they are.
    const answer = new TextEncoder().encode(`answer to ${requestId}`);
    if (this.options.events !== undefined) {
      return this.stream(context, requestId, head, isDeadly, place.leave);
    }
    place.leave();
    // A call that was running when the engine fell over gets no answer.
    if (this.room.isDown) {
      resetConnection(context.env.incoming);
      return new Promise(() => {});
    }
    return context.body(answer, 200, head);
  }

  private isDeadly(request: ReceivedRequest): boolean {
    const { deadlyPart, isDeadly } = this.options;
    return hasPart(request.headers, deadlyPart) || Boolean(isDeadly?.(request));
  }

  private async crashUnder(requestId: string): Promise<void> {
    this.deadlyRequestIds = [...this.deadlyRequestIds, requestId];
    await pause(CRASH_DELAY_MS);
    await this.stop();
    this.onCrash();
  }

  /** Uses up the copy from which a request continues; false if there is none. */
  private takeCopy(headers: Readonly<Record<string, string>>): boolean {
    const handle = headers['kv-from']?.split('/')[1];
    if (handle === undefined) return true;
    return !this.refusesCopies && this.copies.delete(handle);
  }

  private stream(
    context: StandInContext,
    requestId: string,
    head: Readonly<Record<string, string>>,
    isDeadly = false,
    leave = (): void => {},
  ): Response {
    const headers = context.req.header();
    const { events = 0, eventIntervalMs = 5 } = this.options;
    const { incoming } = context.env;
    const run: Run = {
      producedEvents: Number(headers['last-event-id'] ?? 0),
      isStopped: false,
      abort: () => {
        resetConnection(incoming);
      },
    };
    this.running.set(requestId, run);
    const backupAddress = headers['x-bramleyvane-kv-backup'];
    if (backupAddress !== undefined) void sendCopy(backupAddress, requestId);
    const body = new ReadableStream<Uint8Array>({
      start: async (controller) => {
        if (isDeadly) await this.crashUnder(requestId);
        while (run.producedEvents < events && !run.isStopped && !incoming.socket.destroyed) {
          await pause(eventIntervalMs);
          if (this.behaviour === 'silent') await this.awake;
          if (run.isStopped) break;
          run.producedEvents += 1;
          controller.enqueue(Buffer.from(this.createEvent(run.producedEvents, requestId)));
        }
        this.running.delete(requestId);
        leave();
        // The end of a stream without framing is the same whether its run is complete or stopped.
        if (run.producedEvents >= events || this.options.isUnframed) controller.close();
        else run.abort();
      },
      // The connection was closed.
      cancel: () => {
        run.isStopped = true;
        this.running.delete(requestId);
        leave();
      },
    });
    if (this.options.isUnframed) {
      context.env.outgoing.useChunkedEncodingByDefault = false;
      context.env.outgoing.shouldKeepAlive = false;
    }
    return context.body(body, 200, { ...head, 'Content-Type': 'text/event-stream' });
  }

  private createEvent(id: number, requestId: string): string {
    const { softwareVersion, namesRequests } = this.options;
    const request = namesRequests ? ` for ${requestId}` : '';
    const suffix = softwareVersion === undefined ? '' : ` of ${softwareVersion}`;
    return `id: ${id}\ndata: token ${id}${request}${suffix}\n\n`;
  }

  private async copyRun(context: StandInContext): Promise<Response> {
    const request: { id: string; to: string; final: boolean } = await context.req.json();
    this.copyOrders += 1;
    const run = this.running.get(request.id);
    if (!run) return context.body(null, 404);
    if (this.copiesToRefuse > 0) {
      this.copiesToRefuse -= 1;
      return context.body(null, 503);
    }
    if (request.final && this.ignoresFinalCopies) return new Promise(() => {});
    if (request.final) run.isStopped = true;
    await pause(this.options.copyDelayMs ?? 0);
    const handle = `${request.id}-copy`;
    await sendCopy(request.to, handle);
    return context.json({ handle, created: run.producedEvents });
  }
}
