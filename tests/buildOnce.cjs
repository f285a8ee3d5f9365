/** Jest global setup: builds the program once, since tests start it as separate processes. */
const { execFileSync } = require('node:child_process');
const path = require('node:path');

module.exports = async function buildOnce() {
  execFileSync(process.execPath, ['scripts/build.mjs'], {
    cwd: path.join(__dirname, '..'),
    stdio: 'inherit',
  });
};
