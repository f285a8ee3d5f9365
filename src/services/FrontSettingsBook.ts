/**
 * The settings file of a forwarding node, as it was read last.
 */
import type { FrontSettings } from '../core';

/** @public */
export abstract class FrontSettingsBook {
  abstract readonly settings: FrontSettings;
}
