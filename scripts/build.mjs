/**
 * Bundles the program into one CommonJS file, which the single executable is made of.
 */
import { build } from 'esbuild';

await build({
  entryPoints: { bramleyvane: 'src/cli/main.ts' },
  outdir: 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: false,
  // The native part of msgpackr is optional and can't be inside a single executable.
  external: ['msgpackr-extract'],
  logLevel: 'warning',
});
