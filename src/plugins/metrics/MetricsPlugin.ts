/**
 * Metrics of the service and of the process.
 */
import { Plugin, registerPlugin } from '../../kernel';
import { GaugeSource, ServingMetrics } from '../../services';
import { PrometheusMetrics } from './PrometheusMetrics';

/** @internal */
export class MetricsPlugin extends Plugin {
  static override readonly type = 'metrics';

  private readonly metrics = new PrometheusMetrics(() =>
    this.kernel.getAll(GaugeSource).flatMap((source) => source.listGauges()),
  );

  override setUp(): void {
    this.kernel.provide(ServingMetrics, this.metrics);
  }

  override async dispose(): Promise<void> {
    this.metrics.close();
  }
}

registerPlugin(MetricsPlugin);
