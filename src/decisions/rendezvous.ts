/**
 * Rendezvous hashing (highest random weight): every node that sees the same members ranks them the
 * same way, and a member that leaves moves only its own keys.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a with a final mix, so that ids that differ in one digit spread evenly. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  /* eslint-disable no-bitwise */
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}

/** Members in falling order of their weight for the key. */
export function rankMembers<Id extends string>(
  key: string,
  members: ReadonlyArray<Id>,
): ReadonlyArray<Id> {
  return members
    .map((id) => ({ id, weight: hashText(`${key}\n${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** The member with the highest weight for the key. */
export function pickMember<Id extends string>(
  key: string,
  members: ReadonlyArray<Id>,
): Id | undefined {
  let best: { readonly id: Id; readonly weight: number } | undefined;
  members.forEach((id) => {
    const weight = hashText(`${key}\n${id}`);
    if (!best || weight > best.weight || (weight === best.weight && id < best.id)) {
      best = { id, weight };
    }
  });
  return best?.id;
}
