/**
 * The command and the settings of a node, from the project's deploy file and its template.
 */
import { readFileSync } from 'node:fs';

/** Bounds of the site recup-qld. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_500,
  graceS: 8,
  lostMs: 200,
  configApplyMs: 2_500,
  strictRevoke: true,
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 56,
  recoverS: 12,
  ttl_max_s: 5,
};

const SETTINGS_PATH = '/etc/bramleyvane/settings.toml';

function readDeployFile() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const read = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return { run: read('run'), template: read('template') };
}

/** Returns program and arguments; the settings file stands in a temporary folder. */
export function readCommand(settingsFile) {
  return readDeployFile()
    .run.split(' ')
    .map((word) => (word === SETTINGS_PATH ? settingsFile : word));
}

function find(fields, name) {
  return name.split('.').reduce((value, key) => value?.[key], fields);
}

/** Fills in the kinds of placeholder that the project's template uses. */
export function renderTemplate(fields) {
  return readFileSync(readDeployFile().template, 'utf8')
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, text) =>
      find(fields, name) === undefined ? text : '',
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_all, name) => {
      const value = find(fields, name);
      return value === undefined ? '' : JSON.stringify(value);
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_all, name) => String(find(fields, name)));
}
