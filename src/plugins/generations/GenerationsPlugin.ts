/**
 * Provides generations on engines and their HTTP routes.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { Generations, HttpRoutes } from '../../services';
import { EngineClient } from './EngineClient';
import { EngineGenerations } from './EngineGenerations';
import { GenerationRoutes } from './GenerationRoutes';
import { GENERATION_OPTIONS, type GenerationOptions } from './options';

/** @internal */
export class GenerationsPlugin extends Plugin {
  static override readonly type: string = 'generations';

  /** Overridden by tests, for which the default intervals are too long. */
  protected readonly options: GenerationOptions = GENERATION_OPTIONS;

  private client: EngineClient | undefined;

  private generations: EngineGenerations | undefined;

  override setUp(): void {
    this.client = new EngineClient(this.options);
    this.generations = new EngineGenerations(this.kernel, this.client, this.options);
    this.kernel.provide(Generations, this.generations);
    this.kernel.provide(HttpRoutes, new GenerationRoutes(this.kernel, this.options));
  }

  override async drain(): Promise<void> {
    this.generations?.startDrain();
  }

  override async dispose(): Promise<void> {
    this.generations?.dispose();
    await this.client?.close();
  }
}

registerPlugin(GenerationsPlugin);
