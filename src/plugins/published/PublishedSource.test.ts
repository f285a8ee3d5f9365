import { FloodingServer } from '../../../tests/FloodingServer';
import { ConfigurationSource, VmListSource } from './PublishedSource';
import { PUBLISHED_OPTIONS } from './options';

/** What the sockets may hold besides. */
const BUFFERED_BYTES = 8 * 1_048_576;

// Guards against a node that keeps all that a source in trouble sends, until its memory is full.
test.each([
  ['configuration', (url: string) => new ConfigurationSource(url)],
  ['VM list', (url: string) => new VmListSource(url, () => [])],
])('a %s without end is read up to a bound', async (_name, createSource) => {
  const server = await FloodingServer.start('HTTP/1.1 200 OK\r\n\r\n"');
  const source = createSource(server.url);
  await expect(source.read(0, 0, new AbortController().signal)).rejects.toThrow();
  await server.stop();
  const maxBytes = PUBLISHED_OPTIONS.maxAnswerBytes + BUFFERED_BYTES;
  expect(server.sentBytes).toBeLessThan(maxBytes);
});
