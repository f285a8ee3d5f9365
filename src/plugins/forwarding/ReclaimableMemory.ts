/**
 * Memory that a node can do without, such as bodies that are kept to be sent again. It is reclaimed
 * when something else needs the room.
 */

/** @internal */
export abstract class ReclaimablePart {
  /** Returns false, and changes nothing, when there is no free room. */
  abstract grow(bytes: number): boolean;

  /** Keeps the part from being reclaimed until `unpin` was called as often. */
  abstract pin(): void;

  abstract unpin(): void;

  abstract release(): void;
}

class Part extends ReclaimablePart {
  private pins = 0;

  private size = 0;

  private isReleased = false;

  constructor(
    private readonly add: (bytes: number) => boolean,
    private readonly remove: (part: Part) => void,
    private readonly onReclaimed: () => void,
  ) {
    super();
  }

  get bytes(): number {
    return this.size;
  }

  get isPinned(): boolean {
    return this.pins > 0;
  }

  grow(bytes: number): boolean {
    if (this.isReleased || !this.add(bytes)) return false;
    this.size += bytes;
    return true;
  }

  pin(): void {
    this.pins += 1;
  }

  unpin(): void {
    this.pins -= 1;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.remove(this);
  }

  reclaim(): void {
    this.release();
    this.onReclaimed();
  }
}

/** @internal */
export class ReclaimableMemory {
  private readonly parts = new Set<Part>();

  private totalBytes = 0;

  get bytes(): number {
    return this.totalBytes;
  }

  /**
   * @param hasRoom whether there is free room for more bytes.
   * @param onReclaimed frees the memory.
   */
  create(hasRoom: (bytes: number) => boolean, onReclaimed: () => void): ReclaimablePart {
    const part = new Part(
      (bytes) => {
        if (!hasRoom(bytes)) return false;
        this.totalBytes += bytes;
        return true;
      },
      (released) => {
        this.parts.delete(released);
        this.totalBytes -= released.bytes;
      },
      onReclaimed,
    );
    this.parts.add(part);
    return part;
  }

  /** Reclaims at least so many bytes; returns false, and changes nothing, if there aren't as many. */
  reclaim(bytes: number): boolean {
    const available = this.listUnpinned().reduce((sum, part) => sum + part.bytes, 0);
    if (available < bytes) return false;
    this.reclaimUpTo(bytes);
    return true;
  }

  /** As `reclaim`, but reclaims what there is. The largest go first, so that as few as possible do. */
  reclaimUpTo(bytes: number): void {
    let missingBytes = bytes;
    const largestFirst = [...this.listUnpinned()].sort((a, b) => b.bytes - a.bytes);
    largestFirst.forEach((part) => {
      if (missingBytes <= 0) return;
      missingBytes -= part.bytes;
      part.reclaim();
    });
  }

  private listUnpinned(): ReadonlyArray<Part> {
    return [...this.parts].filter(({ isPinned }) => !isPinned);
  }
}
