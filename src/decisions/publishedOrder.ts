/**
 * Which of two copies of a published record is in force.
 */
import { checkContractText, type PublishedRecord } from '../core';

const CONTRACT_PREFIX = 'contracts/';

/** Whether the body may come into force; only contracts are checked here. */
export function isBodyValid(key: string, body: string): boolean {
  return !key.startsWith(CONTRACT_PREFIX) || checkContractText(body).accepted;
}

type GoodBody = NonNullable<PublishedRecord['lastGood']>;

/** The newest valid body that a copy of a record knows of. */
function findGoodBody(record: PublishedRecord | undefined): GoodBody | undefined {
  if (!record) return undefined;
  if (record.body !== null && isBodyValid(record.key, record.body)) {
    return { revision: record.revision, body: record.body };
  }
  return record.lastGood;
}

/**
 * Joins two copies of a record. The higher revision wins. Where its body is refused, the newest
 * valid body of either copy stays beside it, so that a node that starts later has it too. A
 * tombstone has no earlier body: a removed contract ends.
 */
export function mergeRecords(
  held: PublishedRecord | undefined,
  offered: PublishedRecord,
): PublishedRecord {
  const newest = !held || offered.revision > held.revision ? offered : held;
  if (newest.body === null || isBodyValid(newest.key, newest.body)) return newest;
  const good = [findGoodBody(held), findGoodBody(offered)]
    .filter((body) => body !== undefined)
    .sort((a, b) => b.revision - a.revision)[0];
  if (!good || good.revision === newest.lastGood?.revision) return newest;
  return { ...newest, lastGood: good };
}
