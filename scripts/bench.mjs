/**
 * Bundles one measurement of `bench/` and runs it: `node scripts/bench.mjs <name> [arguments]`.
 */
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';

const [name, ...args] = process.argv.slice(2);
const outfile = `dist/bench/${name}.cjs`;

await build({
  entryPoints: [`bench/${name}.ts`],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract'],
  logLevel: 'warning',
});
const { status } = spawnSync(process.execPath, ['--expose-gc', outfile, ...args], {
  stdio: 'inherit',
});
process.exit(status ?? 1);
