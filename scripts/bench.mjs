/**
 * Bundles a bench and runs it: `node scripts/bench.mjs <entry> [options]`.
 */
import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { build } from 'esbuild';

const [entry, ...options] = process.argv.slice(2);
const outfile = path.join('dist', 'bench', `${entry}.cjs`);

await build({
  entryPoints: [path.join('bench', `${entry}.ts`)],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract'],
  logLevel: 'warning',
});
const { status } = spawnSync(process.execPath, ['--expose-gc', outfile, ...options], {
  stdio: 'inherit',
});
process.exit(status ?? 1);
