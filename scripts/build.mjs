/**
 * Bundles the program into one CommonJS file, from which the single executable is built, and the
 * stand-ins into another.
 */
import { build } from 'esbuild';

await build({
  entryPoints: { bramleyvane: 'src/cli/main.ts', 'stand-ins': 'stand-ins/main.ts' },
  outdir: process.argv[2] ?? 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  // A node keeps the source of its bundle in memory, so the source is minified. Identifiers are kept,
  // since logs show class names.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: false,
  // The native addon of msgpackr is optional and cannot be embedded in a single executable.
  external: ['msgpackr-extract'],
  // Without these, msgpackr and ws look for optional native addons when they are loaded.
  define: {
    'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"',
    'process.env.WS_NO_BUFFER_UTIL': '"true"',
    'process.env.WS_NO_UTF_8_VALIDATE': '"true"',
  },
  logLevel: 'warning',
});
