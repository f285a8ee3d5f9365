/**
 * Builds one executable from the bundle, as a Node.js single executable application (SEA).
 *
 * The blob is injected into a copy of the running node binary, which remains linked to the C library.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs';

/** Marker that Node's documentation specifies for locating the blob. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const BINARY = 'dist/bramleyvane';
const BLOB = 'dist/bramleyvane.blob';
const SEA_CONFIG = 'dist/sea-config.json';

execFileSync(process.execPath, ['scripts/build.mjs'], { stdio: 'inherit' });
writeFileSync(
  SEA_CONFIG,
  JSON.stringify({
    main: 'dist/bramleyvane.cjs',
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIG], { stdio: 'inherit' });
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  'npx',
  ['--no-install', 'postject', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL_FUSE],
  { stdio: 'inherit' },
);
