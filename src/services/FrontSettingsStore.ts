/**
 * The settings of a forwarding node, as last read from their file.
 */
import type { FrontSettings } from '../core';

/** @public */
export abstract class FrontSettingsStore {
  abstract readonly settings: FrontSettings;
}
