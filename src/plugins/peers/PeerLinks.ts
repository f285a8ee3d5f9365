/**
 * The links of this node to other nodes, dialled on demand.
 *
 * Each link has one task that runs the handshake, handles frames until the link ends, and cleans up.
 * When two nodes dial each other at once, both links work; both sides send on the link dialled by the
 * node with the lower VM id, and the other link is closed once it is idle.
 */
import { once, on } from 'node:events';
import { WebSocket } from 'ws';
import { ServingError, type VmId } from '../../core';
import type { Kernel } from '../../kernel';
import { PeerDirectory, Peers, type Peer } from '../../services';
import { performHandshake, type LinkSide } from './handshake';
import { MessageDispatcher } from './MessageDispatcher';
import { PEER_OPTIONS } from './options';
import { PeerLink } from './PeerLink';
import type { TrafficCounter } from './TrafficCounter';

/** A connection whose remote end isn't authenticated yet. */
interface Connection {
  readonly socket: WebSocket;
  readonly side: LinkSide;
  readonly remoteAddress: string;
  /** The VM that was dialled; undefined when only an address is known. */
  readonly expectedVmId: VmId | undefined;
}

function unreachable(detail: string, cause?: unknown): ServingError {
  return new ServingError('peer-unreachable', { detail, cause });
}

/** @internal */
export class PeerLinks extends Peers {
  private readonly links = new Map<VmId, ReadonlyArray<PeerLink>>();

  private readonly pendingDials = new Map<VmId, Promise<PeerLink>>();

  private dispatcher = new MessageDispatcher([]);

  constructor(
    private readonly kernel: Kernel,
    private readonly traffic: TrafficCounter,
  ) {
    super();
  }

  /** Sets the dispatcher of received messages; called once, before the first link is opened. */
  setDispatcher(dispatcher: MessageDispatcher): void {
    this.dispatcher = dispatcher;
  }

  async call(vmId: VmId, type: string, body: unknown, deadlineMs: number): Promise<unknown> {
    const link = this.findLink(vmId) ?? (await this.waitForDial(vmId, deadlineMs));
    return link.call(type, body, deadlineMs);
  }

  send(vmId: VmId, type: string, body: unknown): void {
    const link = this.findLink(vmId);
    if (link) {
      link.send(type, body);
      return;
    }
    this.dial(vmId).then(
      (dialled) => dialled.send(type, body),
      () => {},
    );
  }

  async connect(address: string): Promise<Peer> {
    return (await this.dialAddress(address, undefined)).peer;
  }

  listLinked(): ReadonlyArray<Peer> {
    return [...this.links.keys()].flatMap((vmId) => this.findLink(vmId)?.peer ?? []);
  }

  /**
   * Serves a connection that another node opened.
   * @param onAuthenticated called when the other side is known.
   */
  accept(socket: WebSocket, remoteAddress: string, onAuthenticated: () => void): void {
    if (this.kernel.signal.aborted) {
      socket.terminate();
      return;
    }
    this.open(
      { socket, side: 'acceptor', remoteAddress, expectedVmId: undefined },
      onAuthenticated,
    ).catch(() => {});
  }

  /** Closes idle duplicate links, and idle links except for the most recently used ones. */
  closeIdle(): void {
    const idleSinceMs = this.kernel.clock.nowMs() - PEER_OPTIONS.idleCloseMs;
    const duplicates = [...this.links].flatMap(([vmId, links]) =>
      links.filter((link) => link !== this.findLink(vmId)),
    );
    const idle = [...this.links.keys()]
      .flatMap((vmId) => this.findLink(vmId) ?? [])
      .filter((link) => link.lastUsedMs < idleSinceMs)
      .sort((a, b) => b.lastUsedMs - a.lastUsedMs)
      .slice(PEER_OPTIONS.maxIdleLinks);
    const unusedSinceMs = this.kernel.clock.nowMs() - PEER_OPTIONS.idleCheckIntervalMs;
    [...duplicates.filter((link) => link.lastUsedMs < unusedSinceMs), ...idle]
      .filter((link) => !link.isBusy)
      .forEach((link) => link.close());
  }

  /** Chooses the link to send on. */
  private findLink(vmId: VmId): PeerLink | undefined {
    const links = (this.links.get(vmId) ?? []).filter((link) => link.isOpen);
    const preferredSide = this.kernel.settings.vmId < vmId ? 'dialler' : 'acceptor';
    return links.find((link) => link.side === preferredSide) ?? links.at(-1);
  }

  private async waitForDial(vmId: VmId, deadlineMs: number): Promise<PeerLink> {
    const { clock } = this.kernel;
    const settled = new AbortController();
    const timeout = clock.sleep(deadlineMs - clock.nowMs(), settled.signal);
    try {
      const link = await Promise.race([this.dial(vmId), timeout]);
      if (!link) throw unreachable(`${vmId} could not be reached in time.`);
      return link;
    } finally {
      settled.abort();
    }
  }

  private async dial(vmId: VmId): Promise<PeerLink> {
    const running = this.pendingDials.get(vmId);
    if (running) return running;
    if (this.kernel.signal.aborted) throw unreachable('This node has stopped.');
    const address = this.kernel.get(PeerDirectory).findPeerAddress(vmId);
    if (!address) throw unreachable(`No peer address of ${vmId} is known.`);
    const dial = this.dialAddress(address, vmId).finally(() => this.pendingDials.delete(vmId));
    this.pendingDials.set(vmId, dial);
    return dial;
  }

  private async dialAddress(address: string, expectedVmId: VmId | undefined): Promise<PeerLink> {
    if (this.kernel.signal.aborted) throw unreachable('This node has stopped.');
    const socket = new WebSocket(`ws://${address}`, {
      maxPayload: PEER_OPTIONS.maxFrameBytes,
      handshakeTimeout: PEER_OPTIONS.handshakeTimeoutMs,
      perMessageDeflate: false,
    });
    return this.open({ socket, side: 'dialler', remoteAddress: address, expectedVmId });
  }

  /** Starts the task of a link; resolves when the remote end is authenticated. */
  private async open(connection: Connection, onAuthenticated?: () => void): Promise<PeerLink> {
    return new Promise((resolve, reject) => {
      this.kernel.runTask(`peer link ${connection.remoteAddress}`, async (signal) => {
        await this.runLink(connection, signal, (link) => {
          onAuthenticated?.();
          resolve(link);
        });
        reject(unreachable(`No link could be opened to ${connection.remoteAddress}.`));
      });
    });
  }

  private async runLink(
    connection: Connection,
    signal: AbortSignal,
    onOpen: (link: PeerLink) => void,
  ): Promise<void> {
    const { socket } = connection;
    // The iterator reports errors; without this listener, one emitted after it ended would be uncaught.
    socket.on('error', () => {});
    const frames = on(socket, 'message', {
      close: ['close'],
      signal,
      highWaterMark: PEER_OPTIONS.readAheadFrames,
      lowWaterMark: PEER_OPTIONS.resumeAtFrames,
    }) as AsyncIterableIterator<[Uint8Array]>;
    let link: PeerLink | undefined;
    try {
      const peer = await this.authenticate(connection, frames, signal);
      link = this.add(connection, peer);
      onOpen(link);
      for await (const [data] of frames) link.receive(data);
      this.kernel.log.info('peer link ended', { peer: peer.vmId });
    } catch (thrown) {
      if (!signal.aborted) this.logFailure(connection, link, thrown);
    } finally {
      if (link) this.remove(link);
      link?.rejectPending();
      socket.terminate();
    }
  }

  private async authenticate(
    { socket, side, expectedVmId, remoteAddress }: Connection,
    frames: AsyncIterator<[Uint8Array]>,
    signal: AbortSignal,
  ): Promise<Peer> {
    const { clock, settings, incarnation } = this.kernel;
    const settled = new AbortController();
    void clock.sleep(PEER_OPTIONS.handshakeTimeoutMs, settled.signal).then(() => {
      if (!settled.signal.aborted) socket.terminate();
    });
    try {
      if (socket.readyState === WebSocket.CONNECTING) await once(socket, 'open', { signal });
      const peer = await performHandshake({
        side,
        self: { vmId: settings.vmId, incarnation },
        fleetKey: settings.fleetKey,
        write: (data) => socket.send(data),
        read: async () => ((await frames.next()).value as [Uint8Array] | undefined)?.[0],
      });
      if (expectedVmId !== undefined && peer.vmId !== expectedVmId) {
        throw unreachable(`${remoteAddress} belongs to ${peer.vmId} and not to ${expectedVmId}.`);
      }
      return peer;
    } finally {
      settled.abort();
    }
  }

  private add({ socket, side }: Connection, peer: Peer): PeerLink {
    const { dispatcher, traffic } = this;
    const link = new PeerLink({
      socket,
      peer,
      side,
      clock: this.kernel.clock,
      dispatcher,
      traffic,
    });
    const links = this.links.get(peer.vmId) ?? [];
    // The other incarnation has ended or its link is stalled, so calls on it would never be answered.
    const replaced = links.filter((other) => other.peer.incarnation !== peer.incarnation);
    this.links.set(peer.vmId, [...links.filter((other) => !replaced.includes(other)), link]);
    replaced.forEach((other) => {
      other.rejectPending();
      other.close();
    });
    this.kernel.log.info('peer link opened', { peer: peer.vmId, incarnation: peer.incarnation });
    return link;
  }

  private remove(link: PeerLink): void {
    const { vmId } = link.peer;
    const remaining = (this.links.get(vmId) ?? []).filter((other) => other !== link);
    if (remaining.length > 0) this.links.set(vmId, remaining);
    else this.links.delete(vmId);
  }

  private logFailure(connection: Connection, link: PeerLink | undefined, thrown: unknown): void {
    const { remoteAddress, side, expectedVmId } = connection;
    if (link) {
      this.kernel.log.warn('peer link closed', { peer: link.peer.vmId, cause: thrown });
    } else if (side === 'acceptor') {
      this.kernel.log.warn('peer refused', { remoteAddress, cause: thrown });
    } else {
      this.kernel.log.info('peer not reached', {
        remoteAddress,
        peer: expectedVmId,
        cause: thrown,
      });
    }
  }
}
