/**
 * Rendezvous hashing (highest random weight). Nodes with the same list choose the same candidates,
 * and a change of the list moves only the keys of the added or removed candidates.
 */
import { hashText } from './hashText';

/** Returns the candidates in descending order of weight for a key. */
export function rankByRendezvous<T>(
  key: string,
  candidates: ReadonlyArray<T>,
  getId: (candidate: T) => string,
): ReadonlyArray<T> {
  return candidates
    .map((candidate) => ({ candidate, id: getId(candidate) }))
    .map(({ candidate, id }) => ({ candidate, id, weight: hashText(`${key}\n${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ candidate }) => candidate);
}

/** Returns the id with the highest weight for a key; cheaper than a ranking. */
export function pickByRendezvous<Id extends string>(
  key: string,
  ids: ReadonlyArray<Id>,
): Id | undefined {
  let best: { readonly id: Id; readonly weight: number } | undefined;
  ids.forEach((id) => {
    const weight = hashText(`${key}\n${id}`);
    if (!best || weight > best.weight || (weight === best.weight && id < best.id)) {
      best = { id, weight };
    }
  });
  return best?.id;
}
