/**
 * Settings of a node in tests: listeners on ports that the system chooses, and no platform.
 */
import { settingsSchema, type Settings } from '../core';

/** A port without a listener, so that requests to the platform fail immediately. */
const UNUSED_URL = 'http://127.0.0.1:9';

/** @internal */
export function createTestSettings(settings: Readonly<Record<string, unknown>> = {}): Settings {
  return settingsSchema.parse({
    vmId: 'entry-1',
    dataCentre: 'brisbane',
    region: 'seq',
    callerAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:0',
    operatorAddress: '127.0.0.1:0',
    configurationUrl: UNUSED_URL,
    vmListUrl: UNUSED_URL,
    fleetKey: 'test-fleet-key-0001',
    ...settings,
  });
}
