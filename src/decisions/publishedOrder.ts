/**
 * Merges copies of a published record, so that all nodes converge on the same one.
 */
import { checkContractText, type PublishedRecord } from '../core';

const CONTRACT_PREFIX = 'contracts/';

/** Whether the body is valid; only contracts are checked here. */
export function isBodyValid(key: string, body: string): boolean {
  return !key.startsWith(CONTRACT_PREFIX) || checkContractText(body).accepted;
}

type ValidBody = NonNullable<PublishedRecord['lastGood']>;

/** Returns the newest valid body that a copy of a record contains. */
function findValidBody(record: PublishedRecord | undefined): ValidBody | undefined {
  if (!record) return undefined;
  if (record.body !== null && isBodyValid(record.key, record.body)) {
    return { revision: record.revision, body: record.body };
  }
  return record.lastGood;
}

/**
 * Merges two copies of a record. The higher revision wins. If its body is invalid, the newest valid
 * body of either copy is kept as `lastGood`, so that a node that starts later receives it too. A
 * tombstone keeps no earlier body: a removed contract ends.
 */
export function mergeRecords(
  held: PublishedRecord | undefined,
  offered: PublishedRecord,
): PublishedRecord {
  const newest = !held || offered.revision > held.revision ? offered : held;
  if (newest.body === null || isBodyValid(newest.key, newest.body)) return newest;
  const lastValid = [findValidBody(held), findValidBody(offered)]
    .filter((body) => body !== undefined)
    .sort((a, b) => b.revision - a.revision)[0];
  if (!lastValid || lastValid.revision === newest.lastGood?.revision) return newest;
  return { ...newest, lastGood: lastValid };
}
