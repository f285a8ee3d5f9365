/**
 * Bootstrap settings of a node, which it needs before it can contact the platform or other nodes.
 *
 * Each setting can be given as a flag or as an environment variable. Settings do not affect how
 * customers are served; only contracts do.
 */
import * as z from 'zod';
import { vmIdSchema } from './ids';

export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'expected an IP number and a port');

/** @public */
export const settingsSchema = z
  .strictObject({
    vmId: vmIdSchema.describe('name of this VM in the VM list'),
    dataCentre: z.string().min(1).describe('data centre of this VM'),
    region: z.string().min(1).describe('region of the data centre'),
    callerAddress: addressSchema.describe('ip:port for callers; port 0 lets the system choose'),
    peerAddress: addressSchema.describe('ip:port for links from other nodes'),
    operatorAddress: addressSchema.describe('ip:port for metrics, health and status'),
    configurationUrl: z.url().describe('base URL of the configuration service'),
    vmListUrl: z.url().describe('base URL of the list of live and leaving VMs'),
    fleetKey: z.string().min(16).describe('secret shared by the nodes, at least 16 characters'),
    logLevel: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .describe('least severe log level that is written'),
  })
  .readonly();
export type Settings = z.infer<typeof settingsSchema>;
export type SettingName = keyof Settings;

/** Names of all settings, in the order of the help text. */
export const SETTING_NAMES = Object.keys(
  settingsSchema.unwrap().shape,
) as ReadonlyArray<SettingName>;

function toWords(name: SettingName): ReadonlyArray<string> {
  return name.split(/(?=[A-Z])/).map((word) => word.toLowerCase());
}

/** `vmListUrl` → `--vm-list-url`. */
export function getFlagName(name: SettingName): string {
  return `--${toWords(name).join('-')}`;
}

/** `vmListUrl` → `BRAMLEYVANE_VM_LIST_URL`. */
export function getVariableName(name: SettingName): string {
  return `BRAMLEYVANE_${toWords(name).join('_').toUpperCase()}`;
}

/** Splits `ip:port`; an IPv6 address is in brackets. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
}
