/**
 * An authenticated link to one incarnation of a node, with requests and replies in both directions.
 */
import type { WebSocket } from 'ws';
import { ServingError, type Clock } from '../../core';
import type { Peer } from '../../services';
import { decodePeerFrame, encodePeerFrame, type PeerFrame, type PeerRequest } from '../../wire';
import type { LinkSide } from './handshake';
import type { MessageDispatcher } from './MessageDispatcher';
import { PEER_OPTIONS } from './options';
import type { TrafficCounter } from './TrafficCounter';

interface PendingCall {
  readonly type: string;
  readonly resolve: (reply: unknown) => void;
  readonly reject: (error: ServingError) => void;
}

/** @internal */
export interface PeerLinkParameters {
  readonly socket: WebSocket;
  readonly peer: Peer;
  readonly side: LinkSide;
  readonly clock: Clock;
  readonly dispatcher: MessageDispatcher;
  readonly traffic: TrafficCounter;
}

/** @internal */
export class PeerLink {
  readonly peer: Peer;

  readonly side: LinkSide;

  private readonly pending = new Map<number, PendingCall>();

  private readonly closed = new AbortController();

  private nextId = 0;

  /** Requests of the peer whose handlers are running. */
  private runningHandlers = 0;

  private lastReceivedMs: number;

  private lastUsedAtMs: number;

  constructor(private readonly parameters: PeerLinkParameters) {
    this.peer = parameters.peer;
    this.side = parameters.side;
    this.lastReceivedMs = parameters.clock.nowMs();
    this.lastUsedAtMs = this.lastReceivedMs;
    parameters.socket.on('pong', () => this.markReceived());
  }

  /** Monotonic time of the last frame in either direction. */
  get lastUsedMs(): number {
    return this.lastUsedAtMs;
  }

  /** False as soon as either side starts to close the link. */
  get isOpen(): boolean {
    const { socket } = this.parameters;
    return socket.readyState === socket.OPEN;
  }

  get isBusy(): boolean {
    return this.pending.size > 0 || this.runningHandlers > 0;
  }

  async call(type: string, body: unknown, deadlineMs: number): Promise<unknown> {
    const { clock } = this.parameters;
    const sentAtMs = clock.nowMs();
    const id = this.nextId;
    this.nextId += 1;
    const answered = new AbortController();
    try {
      return await new Promise<unknown>((resolve, reject) => {
        this.pending.set(id, { type, resolve, reject });
        this.write(type, { form: 'request', request: { id, type, body } });
        void clock.sleep(deadlineMs - sentAtMs, answered.signal).then(() => {
          if (answered.signal.aborted) return;
          reject(
            new ServingError('peer-unreachable', {
              detail: `${this.peer.vmId} didn't answer ${type} in time.`,
            }),
          );
          void this.probe(sentAtMs);
        });
      });
    } finally {
      answered.abort();
      this.pending.delete(id);
    }
  }

  send(type: string, body: unknown): void {
    this.write(type, { form: 'request', request: { type, body } });
  }

  /** Handles one frame. @throws ServingError `malformed-request`; the link must then be closed. */
  receive(data: Uint8Array): void {
    this.markReceived();
    this.lastUsedAtMs = this.lastReceivedMs;
    const frame = decodePeerFrame(data);
    if (frame.form === 'request') {
      const { type, body } = frame.request;
      const run = this.parameters.dispatcher.prepare(this.peer, type, body);
      this.parameters.traffic.recordReceived(type, data.length);
      void this.handleRequest(frame.request, run);
      return;
    }
    // A reply that arrives after its deadline has no pending call; ids aren't reused on a link.
    const call = this.pending.get(frame.id);
    this.parameters.traffic.recordReceived(call?.type ?? 'late', data.length);
    this.pending.delete(frame.id);
    if (frame.form === 'reply') call?.resolve(frame.reply);
    else call?.reject(frame.error);
  }

  close(): void {
    this.parameters.socket.close();
  }

  /** Rejects every pending call when the link is lost. */
  rejectPending(): void {
    this.closed.abort();
    const calls = [...this.pending.values()];
    this.pending.clear();
    calls.forEach(({ type, reject }) =>
      reject(
        new ServingError('peer-unreachable', {
          detail: `The link to ${this.peer.vmId} was lost before it answered ${type}.`,
        }),
      ),
    );
  }

  private async handleRequest(
    { id, type }: PeerRequest,
    run: () => Promise<unknown>,
  ): Promise<void> {
    this.runningHandlers += 1;
    try {
      const reply = await run();
      if (id !== undefined) this.write(type, { form: 'reply', id, reply });
    } catch (thrown) {
      const error = ServingError.from(thrown);
      if (id !== undefined) this.write(type, { form: 'failure', id, error });
    } finally {
      this.runningHandlers -= 1;
    }
  }

  private write(type: string, frame: PeerFrame): void {
    const { socket, traffic, clock } = this.parameters;
    if (!this.isOpen) return;
    if (socket.bufferedAmount > PEER_OPTIONS.maxUnsentBytes) {
      socket.terminate();
      return;
    }
    const data = encodePeerFrame(frame);
    this.lastUsedAtMs = clock.nowMs();
    traffic.recordSent(type, data.length);
    socket.send(data);
  }

  private markReceived(): void {
    this.lastReceivedMs = this.parameters.clock.nowMs();
  }

  /** Closes the link if it has received nothing since a time and a ping isn't answered either. */
  private async probe(sinceMs: number): Promise<void> {
    const { socket, clock } = this.parameters;
    if (this.lastReceivedMs > sinceMs || !this.isOpen) return;
    socket.ping();
    await clock.sleep(PEER_OPTIONS.probeTimeoutMs, this.closed.signal);
    if (this.lastReceivedMs <= sinceMs) socket.terminate();
  }
}
