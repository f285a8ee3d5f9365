/**
 * Gauges of the configuration and of the endpoints.
 */
import { GaugeSource, type GaugeReading } from '../../services';
import type { DeploymentStore } from './DeploymentStore';

const MS_PER_SECOND = 1_000;

/** @internal */
export class DeploymentGauges extends GaugeSource {
  constructor(private readonly deployment: DeploymentStore) {
    super();
  }

  listGauges(): ReadonlyArray<GaugeReading> {
    return [...this.listConfiguration(), ...this.listEndpoints(), ...this.listEvacuations()];
  }

  private listConfiguration(): ReadonlyArray<GaugeReading> {
    return [
      {
        name: 'configuration_version',
        help: 'Version of the configuration in force; 0 before one is known.',
        value: this.deployment.configuration?.version ?? 0,
      },
      {
        name: 'configuration_confirmed_age_seconds',
        help: 'Time since the configuration was last confirmed; infinite when that is unknown.',
        value: this.deployment.getConfirmedAgeMs() / MS_PER_SECOND,
      },
      {
        name: 'source_era',
        help: 'Era of the source up to which every change is known.',
        value: this.deployment.completeTo.era,
      },
      {
        name: 'source_revision',
        help: 'Revision in that era up to which every change is known.',
        value: this.deployment.completeTo.revision,
      },
    ];
  }

  private listEvacuations(): ReadonlyArray<GaugeReading> {
    const ordered = this.deployment.evacuations
      .list()
      .flatMap((state) => (state.isEvacuated ? state.dataCentre : []));
    return [...new Set([...this.deployment.listDataCentres(), ...ordered])].map((dataCentre) => ({
      name: 'evacuated',
      help: 'Whether the operator has evacuated a data centre, as known to this node.',
      value: ordered.includes(dataCentre) ? 1 : 0,
      labels: { data_centre: dataCentre },
    }));
  }

  private listEndpoints(): ReadonlyArray<GaugeReading> {
    const known = this.deployment.listAll();
    const services = new Set(known.map(({ service }) => service));
    return [...services].flatMap((service) => {
      const listed = known.filter((backEnd) => backEnd.service === service);
      const assignable = this.deployment.listAssignable(service).length;
      const leaving = listed.filter(({ leavingSinceMs }) => leavingSinceMs !== undefined).length;
      const states = { assignable, leaving, evacuated: listed.length - assignable - leaving };
      return Object.entries(states).map(([state, value]) => ({
        name: 'endpoints',
        help: 'Endpoints by service and state.',
        value,
        labels: { service, state },
      }));
    });
  }
}
