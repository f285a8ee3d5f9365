/**
 * Tells whether the engines of a service serve work of different urgency.
 *
 * The operator asks for it by ranking a stream ahead of one with a far longer latency goal at the same
 * service. Only then can the patient work give way to the urgent work beside it and still meet its goal.
 */
import type { Route, ServingConfiguration } from '../core';

/** Multiple of the urgent stream's goal from which on a stream counts as patient. */
const PATIENT_GOAL_RATIO = 2;

function leadsTo(service: string): (route: Route) => boolean {
  return ({ delivery, targets }) =>
    delivery === 'stream' && targets.some((target) => target.service === service);
}

export function servesMixedUrgency(
  { routes }: Pick<ServingConfiguration, 'routes'>,
  service: string,
): boolean {
  const streams = routes.filter(leadsTo(service));
  return streams.some((urgent) =>
    streams.some(
      (patient) =>
        urgent.rank < patient.rank &&
        urgent.latencyGoalMs * PATIENT_GOAL_RATIO <= patient.latencyGoalMs,
    ),
  );
}
