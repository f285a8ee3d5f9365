/**
 * Passes what arrives on each connection of a caller to the parser of Node.js in small slices, and
 * closes the connection when it exceeds its limits.
 *
 * The parser tells of a head only when it is complete, and of trailers and chunk extensions not at
 * all; it reads all that has arrived at once, also many pipelined requests.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { estimatePartialHeadBytes } from '../../decisions';
import type { CoalescingRequest, ShedReason } from '../../wire';
import { ChunkThrottle } from './ChunkThrottle';
import type { HeldMemory, HeldPart } from './HeldMemory';
import { FORWARDING_OPTIONS } from './options';

/** Why a connection was closed. @internal */
export type CloseReason =
  | ShedReason
  | 'head too large'
  | 'body framing'
  | 'pipelined requests'
  | 'memory'
  | 'unread answer';

const HEAD_TOO_LARGE =
  'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

const BLANK_LINE = '\r\n\r\n';

/** Bytes after the last head, or after the last body in chunks. */
function countAfterBlankLine(slice: Buffer): number {
  const position = slice.lastIndexOf(BLANK_LINE);
  return position < 0 ? slice.length : slice.length - position - BLANK_LINE.length;
}

class GuardedConnection {
  openRequests = 0;

  /** The last request whose head is complete. */
  request: CoalescingRequest | undefined;

  /** Whether the head of `request` became complete with the current slice. */
  hasArrived = false;

  isInBody = false;

  /** Bytes of the body that have arrived. */
  payloadBytes = 0;

  /** Bytes that belong to a head which isn't complete, or to chunk extensions and trailers. */
  looseBytes = 0;

  /** What the parser holds of `looseBytes`. */
  part: HeldPart | undefined;

  get shortChunks(): number {
    return this.request?.shortChunks ?? 0;
  }

  /** Resolves when the answer to the last request has been sent. */
  lastClosed: Promise<void> | undefined;

  /** Nothing is read after a refusal. */
  isRefused = false;

  /** Arrived and not parsed yet, in order. */
  readonly unparsed: Buffer[] = [];

  /** Counts `unparsed` while the connection waits for its turn. */
  waitingPart: HeldPart | undefined;

  constructor(
    readonly socket: Socket,
    readonly parse: (slice: Buffer) => void,
  ) {}

  get isWaiting(): boolean {
    return this.waitingPart !== undefined;
  }

  get isClosing(): boolean {
    return this.isRefused || this.socket.destroyed;
  }

  release(): void {
    this.looseBytes = 0;
    this.part?.release();
    this.part = undefined;
  }
}

/** @internal */
export class ConnectionGuard {
  private readonly connections = new Map<Socket, GuardedConnection>();

  private readonly throttle = new ChunkThrottle();

  private maxHeadBytes: number = FORWARDING_OPTIONS.defaultMaxHeadBytes;

  constructor(
    server: Server,
    private readonly memory: HeldMemory,
    private readonly maxPipelinedRequests: number,
    private readonly onClosed: (reason: CloseReason) => void,
  ) {
    server.on('connection', (socket: Socket) => this.add(socket));
  }

  setMaxHeadBytes(maxBytes: number): void {
    this.maxHeadBytes = maxBytes;
  }

  /** Returns false if the connection has too many open requests; it is then closed. */
  admit(request: CoalescingRequest): boolean {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (!connection || connection.isClosing) return false;
    connection.openRequests += 1;
    connection.request = request;
    connection.hasArrived = true;
    if (connection.openRequests <= this.maxPipelinedRequests) return true;
    this.close(connection, 'pipelined requests');
    return false;
  }

  /** Returns the end of the request before, if it is still open, and keeps that of this one. */
  takeTurn(socket: Socket, closed: Promise<void>): Promise<void> | undefined {
    const connection = this.connections.get(socket);
    if (!connection) return undefined;
    const { lastClosed, openRequests } = connection;
    connection.lastClosed = closed;
    return openRequests > 1 ? lastClosed : undefined;
  }

  /** Called after `admit`, for a request that is refused and whose connection then closes. */
  stopReading({ socket }: CoalescingRequest): void {
    const connection = this.connections.get(socket);
    if (connection) connection.isRefused = true;
  }

  endRequest(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection) connection.openRequests -= 1;
  }

  /** Closes a connection whose caller isn't served any longer. */
  close({ socket }: { readonly socket: Socket }, reason: CloseReason): void {
    if (socket.destroyed) return;
    this.onClosed(reason);
    socket.destroy();
  }

  private add(socket: Socket): void {
    const parsers = socket.listeners('data') as unknown as ReadonlyArray<(slice: Buffer) => void>;
    const parse = (slice: Buffer): void => parsers.forEach((listener) => listener(slice));
    const connection = new GuardedConnection(socket, parse);
    this.connections.set(socket, connection);
    socket.once('close', () => {
      // Until then, the parser still holds what it has read.
      connection.release();
      connection.waitingPart?.release();
      this.connections.delete(socket);
    });
    socket.on('data', (bytes: Buffer) => this.receive(connection, bytes));
    parsers.forEach((listener) => socket.off('data', listener));
  }

  private receive(connection: GuardedConnection, bytes: Buffer): void {
    connection.unparsed.push(bytes);
    if (!connection.waitingPart) {
      this.parseInOrder(connection);
      return;
    }
    // Node.js resumes the socket whenever the body is read, so `pause` alone doesn't keep the order.
    connection.waitingPart.growAlways(bytes.length);
    connection.socket.pause();
  }

  private parseInOrder(connection: GuardedConnection): void {
    const { unparsed } = connection;
    while (unparsed.length > 0 && !connection.isClosing) {
      const mayGoOn = this.parseSlice(connection, this.takeSlice(connection));
      if (!mayGoOn && unparsed.length > 0) {
        this.waitForTurn(connection);
        return;
      }
    }
  }

  private takeSlice({ unparsed, shortChunks }: GuardedConnection): Buffer {
    const { readSliceBytes, shortChunkAllowance, shortChunkSliceBytes } = FORWARDING_OPTIONS;
    const maxBytes = shortChunks > shortChunkAllowance ? shortChunkSliceBytes : readSliceBytes;
    const [first] = unparsed.splice(0, 1) as [Buffer];
    if (first.length > maxBytes) unparsed.unshift(first.subarray(maxBytes));
    return first.subarray(0, maxBytes);
  }

  /** Returns false if the connection has to wait for its turn. */
  private parseSlice(connection: GuardedConnection, slice: Buffer): boolean {
    const { request: earlierRequest, shortChunks: earlierChunks } = connection;
    connection.parse(slice);
    if (connection.isClosing) return true;
    this.count(connection, slice);
    const { request, shortChunks } = connection;
    const isFree = shortChunks <= FORWARDING_OPTIONS.shortChunkAllowance;
    if (isFree) return true;
    return this.throttle.spend(shortChunks - (request === earlierRequest ? earlierChunks : 0));
  }

  /** Parses no more of the connection until the throttle lets it go on. */
  private waitForTurn(connection: GuardedConnection): void {
    const target = connection;
    const { socket, unparsed } = target;
    const part = this.memory.reserveAlways(unparsed.reduce((sum, { length }) => sum + length, 0));
    target.waitingPart = part;
    socket.pause();
    this.throttle.wait(() => {
      part.release();
      target.waitingPart = undefined;
      if (target.isClosing) return;
      socket.resume();
      this.parseInOrder(target);
    });
  }

  /** Called when the parser has read a slice. */
  private count(connection: GuardedConnection, slice: Buffer): void {
    const target = connection;
    const { request, hasArrived, isInBody: wasInBody, payloadBytes: earlierBytes } = target;
    target.hasArrived = false;
    target.isInBody = request !== undefined && !request.complete;
    target.payloadBytes = request?.payloadBytes ?? 0;
    if (hasArrived || (wasInBody && !target.isInBody)) target.release();
    if (hasArrived && target.isInBody) {
      this.countLoose(target, countAfterBlankLine(slice) - this.weighPayload(target.payloadBytes));
    } else if (hasArrived || (wasInBody && !target.isInBody)) {
      // The slice ends a message, and may begin the next head.
      const payloadBytes = hasArrived ? target.payloadBytes : target.payloadBytes - earlierBytes;
      this.countLoose(target, countAfterBlankLine(slice) - payloadBytes);
    } else if (target.isInBody) {
      this.countLoose(target, slice.length - this.weighPayload(target.payloadBytes - earlierBytes));
    } else {
      this.countLoose(target, slice.length);
    }
  }

  /** Bytes that a body has at most in the shortest chunks. */
  private weighPayload(payloadBytes: number): number {
    return payloadBytes * FORWARDING_OPTIONS.maxFramingFactor;
  }

  private countLoose(connection: GuardedConnection, bytes: number): void {
    if (bytes <= 0) return;
    const target = connection;
    target.looseBytes += bytes;
    const { looseBytes } = target;
    // The limit counts names and values; lines have separators besides.
    if (looseBytes > this.maxHeadBytes * FORWARDING_OPTIONS.headLengthFactor) {
      this.refuse(target);
    } else if (looseBytes > FORWARDING_OPTIONS.ordinaryHeadBytes) {
      this.hold(target, estimatePartialHeadBytes(target.part ? bytes : looseBytes));
    }
  }

  private hold(connection: GuardedConnection, bytes: number): void {
    const target = connection;
    if (target.part) {
      if (!target.part.grow(bytes)) this.shed(target);
      return;
    }
    target.part = this.memory.reserve(bytes);
    if (!target.part) this.shed(target);
  }

  /** Closes the connection with the largest head that isn't complete, and the one that needs room. */
  private shed(newest: GuardedConnection): void {
    let largest = newest;
    this.connections.forEach((each) => {
      if (!each.isClosing && each.looseBytes > largest.looseBytes) largest = each;
    });
    this.close(largest, 'memory');
    this.close(newest, 'memory');
  }

  private refuse(connection: GuardedConnection): void {
    const target = connection;
    const { socket, isInBody, openRequests } = target;
    if (isInBody || openRequests > 0 || !socket.writable) {
      this.close(target, isInBody ? 'body framing' : 'head too large');
      return;
    }
    this.onClosed('head too large');
    target.isRefused = true;
    socket.end(HEAD_TOO_LARGE, () => socket.destroy());
  }
}
