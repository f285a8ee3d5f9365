import fc from 'fast-check';
import { EventSplitter } from './EventSplitter';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid: 3\ndata: c\n\n';

// Guards against forwarding part of an event, after which another engine could not continue.
test('returns only complete events, wherever the chunks end', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: STREAM.length - 1 })), (cuts) => {
      const splitter = new EventSplitter();
      const ends = [...cuts, STREAM.length].sort((a, b) => a - b);
      let out = '';
      let events = 0;
      let start = 0;
      ends.forEach((end) => {
        const whole = splitter.push(Buffer.from(STREAM.slice(start, end)));
        start = end;
        if (!whole) return;
        out += Buffer.from(whole.bytes).toString();
        events += whole.count;
        expect(out).toMatch(/\n\r?\n$/);
        expect(whole.lastEventId).toBe(String(events));
      });
      expect(out).toBe(STREAM);
      expect(events).toBe(3);
    }),
    { seed: 20261204 },
  );
});

test('keeps the bytes of an incomplete event', () => {
  const splitter = new EventSplitter();
  expect(splitter.push(Buffer.from('id: 1\nda'))).toBeUndefined();
  expect(() => splitter.checkEnd()).toThrow('ended inside an event');
  const rest = splitter.push(Buffer.from('ta: x\n\n'));
  expect(Buffer.from(rest!.bytes).toString()).toBe('id: 1\ndata: x\n\n');
  expect(() => splitter.checkEnd()).not.toThrow();
});

// Guards against an event without end that fills the memory of the node.
test('ends a stream whose event is too long', () => {
  const splitter = new EventSplitter();
  const chunk = Buffer.alloc(65_536, 'x');
  const push = (): void => {
    for (let index = 0; index < 6; index++) splitter.push(chunk);
  };
  expect(push).toThrow(expect.objectContaining({ kind: 'endpoint-failed' }));
});
