import fc from 'fast-check';
import type { ServingError, EndpointId } from '../../core';
import { createGenerationId, ManualClock } from '../../core';
import type { FleetEndpoint, GenerationRequest } from '../../services';
import { EngineClient, type EngineConnection, type EngineEvent } from './EngineClient';
import { StartingReader } from './EngineReader';
import { GENERATION_OPTIONS } from './options';

/** Behaviour of one connection. */
interface Script {
  /** Number of positions before the requested one that are sent again. */
  readonly repeats: number;
  /** Whether every position is sent twice. */
  readonly doubles: boolean;
  /** Index, within the connection, of the position that is left out. */
  readonly lost: number;
  /** Number of events after which the connection breaks, or ends without the end event. */
  readonly length: number;
  readonly breaks: boolean;
}

const scriptArbitrary: fc.Arbitrary<Script> = fc.record({
  repeats: fc.nat(3),
  doubles: fc.boolean(),
  lost: fc.oneof({ weight: 4, arbitrary: fc.constant(-1) }, { weight: 1, arbitrary: fc.nat(8) }),
  length: fc.nat(30),
  breaks: fc.boolean(),
});

class ImmediateClock extends ManualClock {
  override async sleep(): Promise<void> {
    // Skips the delays before reconnections.
  }
}

class ScriptedClient extends EngineClient {
  private connections = 0;

  constructor(
    private readonly scripts: ReadonlyArray<Script>,
    private readonly tokens: number,
  ) {
    super();
  }

  override async open(): Promise<EngineConnection> {
    return this.connect(0);
  }

  override async resume(
    ...[, , after]: Parameters<EngineClient['resume']>
  ): ReturnType<EngineClient['resume']> {
    return this.connect(after === undefined ? 0 : after + 1);
  }

  private connect(from: number): EngineConnection {
    const script = this.scripts[this.connections % this.scripts.length]!;
    this.connections += 1;
    return { attachment: `"${this.connections}"`, events: this.play(script, from) };
  }

  private async *play(script: Script, from: number): AsyncGenerator<EngineEvent> {
    const start = Math.max(0, from - script.repeats);
    const positions = Array.from({ length: this.tokens - start }, (_, index) => start + index)
      .filter((_, index) => index !== script.lost)
      .flatMap((position) => (script.doubles ? [position, position] : [position]));
    for (const position of positions.slice(0, script.length)) {
      yield { position, data: `token ${position}` };
    }
    if (script.length >= positions.length) yield { position: this.tokens, data: '[DONE]' };
    else if (script.breaks) throw new Error('connection reset');
  }
}

// Guards against a gap, a repeated token or an early end of the stream when connections fail.
test('reads a contiguous prefix over broken connections', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(scriptArbitrary, { minLength: 1, maxLength: 5 }),
      fc.nat(20),
      async (scripts, tokens) => {
        const reader = new StartingReader(
          {
            client: new ScriptedClient(scripts, tokens),
            clock: new ImmediateClock(),
            options: GENERATION_OPTIONS,
            endpoint: { endpointId: 'engine-1' as EndpointId } as FleetEndpoint,
            generationId: createGenerationId(),
            disconnectSignal: new AbortController().signal,
          },
          {} as GenerationRequest,
        );
        const seen: string[] = [];
        let failure: unknown;
        try {
          for await (const { data } of reader.read()) seen.push(data);
        } catch (thrown) {
          failure = thrown;
        }
        expect(seen).toEqual(seen.map((_, index) => `token ${index}`));
        expect(reader.isComplete).toBe(failure === undefined);
        if (failure) {
          expect(['engine-lost', 'position-gap']).toContain((failure as ServingError).kind);
        } else expect(seen).toHaveLength(tokens);
      },
    ),
    { seed: 2, numRuns: 500 },
  );
});
