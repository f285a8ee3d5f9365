/**
 * Names that the stand-ins and the scripts share.
 */
import path from 'node:path';
import process from 'node:process';

export const ROOT = path.resolve(import.meta.dirname, '../..');
export const LOOPBACK = '127.0.0.1';
export const HOST = 'ficu95.example';
export const KEY = 'key-of-cafe-1';

/** False for the same run without the disruption. */
export const TROUBLE = process.env.TROUBLE !== '0';
