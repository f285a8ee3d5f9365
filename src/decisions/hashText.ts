/**
 * A 32-bit hash of text. Nodes of all versions must compute the same values.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/* eslint-disable no-bitwise -- hashing is arithmetic on bits */

/** FNV-1a with the finalizer of MurmurHash3; with FNV alone, similar names sort similarly. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_B);
  return (hash ^ (hash >>> 16)) >>> 0;
}
