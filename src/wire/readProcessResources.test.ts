import { readFileSync } from 'node:fs';
import { readProcessResources } from './readProcessResources';

jest.mock('node:fs', () => ({ readFileSync: jest.fn() }));

const setProcessLimit = (limit: string): void => {
  const line = `Max open files            ${limit}                  ${limit}                  files`;
  jest.mocked(readFileSync).mockReturnValue(`Limit  Soft Limit  Hard Limit  Units\n${line}\n`);
};

// Guards against a node that accepts a handful of connections because the limit of its process, which
// counts only files where the platform bounds sockets by itself, goes before the stated one.
test('the stated number of descriptors goes before the limit of the process', () => {
  setProcessLimit('200');
  expect(readProcessResources(4_100).descriptors).toBe(4_100);
});

// Guards against more connections than the process can open where nobody states a number.
test('the limit of the process counts where no number is stated', () => {
  setProcessLimit('1024');
  expect(readProcessResources().descriptors).toBe(1_024);
});
