/**
 * Layouts of the deployments that run in one process, one for each site that the examples describe.
 */
import kelanisetuContract from '../../../examples/kelanisetu.json';
import recupContract from '../../../examples/recup.json';
import { checkContract, type Contract } from '../../core';

/** @internal */
export interface EmbeddedDataCentre {
  readonly dataCentre: string;
  readonly region: string;
}

/** @internal */
export interface EmbeddedLayout {
  readonly name: string;
  readonly dataCentres: ReadonlyArray<EmbeddedDataCentre>;
  readonly contract: Contract;
  /** The key whose hash stands in the example contract. */
  readonly apiKey: string;
  /** Kinds of work of the example calls. */
  readonly longKind: string;
  readonly shortKind: string;
  readonly onceKind: string;
  readonly lookupKind: string;
}

function readContract(value: unknown): Contract {
  const result = checkContract(value);
  if (!result.accepted) throw new Error(JSON.stringify(result.faults));
  return result.contract;
}

/** @internal */
export const EMBEDDED_LAYOUTS: ReadonlyArray<EmbeddedLayout> = [
  {
    name: 'recup',
    dataCentres: [
      { dataCentre: 'brisbane', region: 'seq' },
      { dataCentre: 'gold-coast', region: 'seq' },
      { dataCentre: 'cairns', region: 'fnq' },
    ],
    contract: readContract(recupContract),
    apiKey: 'recup-brisbane-example-key',
    longKind: 'audit-summary',
    shortKind: 'bin-label',
    onceKind: 'pickup-credit',
    lookupKind: 'status-lookup',
  },
  {
    name: 'kelanisetu',
    dataCentres: [
      { dataCentre: 'colombo-a', region: 'western' },
      { dataCentre: 'gampaha-b', region: 'western' },
      { dataCentre: 'kandy-a', region: 'central' },
    ],
    contract: readContract(kelanisetuContract),
    apiKey: 'kelanisetu-engineers-example-key',
    longKind: 'diagnostic-write-up',
    shortKind: 'part-summary',
    onceKind: 'charge',
    lookupKind: 'history-lookup',
  },
];
