/**
 * The settings file of a forwarding node, as it was read last.
 */
import type { FrontSettings } from '../core';

/** @public */
export abstract class FrontSettingsStore {
  abstract readonly settings: FrontSettings;
}
