/**
 * Reads settings from flags and environment variables; flags take precedence. Reports all invalid
 * settings at once.
 */
import {
  getFlagName,
  getVariableName,
  SETTING_NAMES,
  settingsSchema,
  ServingError,
  type SettingName,
  type Settings,
} from '../core';

export function readSettings(
  flags: Readonly<Partial<Record<SettingName, string>>>,
  environment: Readonly<Record<string, string | undefined>>,
): Settings {
  const values = Object.fromEntries(
    SETTING_NAMES.map((name) => [name, flags[name] ?? environment[getVariableName(name)]]).filter(
      ([, value]) => value !== undefined,
    ),
  ) as Readonly<Record<string, string>>;
  const result = settingsSchema.safeParse(values);
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) => {
    const name = issue.path[0] as SettingName;
    const problem = values[name] === undefined ? 'missing' : issue.message;
    return `${getFlagName(name)} (${getVariableName(name)}): ${problem}`;
  });
  throw new ServingError('invalid-settings', { detail: faults.join('\n') });
}
