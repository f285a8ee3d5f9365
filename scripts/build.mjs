/**
 * Bundles the program into one CommonJS file, which the single executable is made of, and the
 * stand-ins into another.
 */
import { build } from 'esbuild';

await build({
  entryPoints: { bramleyvane: 'src/cli/main.ts', 'stand-ins': 'stand-ins/main.ts' },
  outdir: process.argv[2] ?? 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  // A node's memory holds the source of its bundle. Identifiers stay, since logs show class names.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: false,
  // The native part of msgpackr is optional and can't be inside a single executable.
  external: ['msgpackr-extract'],
  // Without these, msgpackr and ws look for optional native parts when they are loaded.
  define: {
    'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"',
    'process.env.WS_NO_BUFFER_UTIL': '"true"',
    'process.env.WS_NO_UTF_8_VALIDATE': '"true"',
  },
  logLevel: 'warning',
});
