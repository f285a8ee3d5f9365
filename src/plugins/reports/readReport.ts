/**
 * Requests the report of one endpoint: the load of an engine, or whether a service is leaving.
 */
import { request, type Dispatcher } from 'undici';
import { endpointReportSchema, ServingError, type EndpointReport, type Vm } from '../../core';
import { readBoundedText } from '../../wire';
import { REPORT_OPTIONS } from './options';

/** Load reported for a service, which has no KV cache. */
const SERVICE_LOAD = {
  memoryUsedTokens: 0,
  memoryTotalTokens: 0,
  running: 0,
  waiting: 0,
  preemptions: 0,
  models: [],
} as const;

async function readEngine(response: Dispatcher.ResponseData): Promise<EndpointReport> {
  const text = await readBoundedText(response.body, REPORT_OPTIONS.maxReportBytes);
  return endpointReportSchema.parse(JSON.parse(text));
}

async function readService({ headers, body }: Dispatcher.ResponseData): Promise<EndpointReport> {
  await body.dump();
  return { ...SERVICE_LOAD, leaving: headers['x-leaving'] === 'true' };
}

/** @throws when the request fails or the response is invalid. */
export async function readReport(vm: Vm, signal: AbortSignal): Promise<EndpointReport> {
  const isEngine = vm.role === 'engine';
  const response = await request(new URL(isEngine ? '/v1/load' : '/healthz', vm.url), { signal });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new ServingError('endpoint-failed', {
      detail: `${vm.vmId} answered ${response.statusCode}.`,
    });
  }
  return isEngine ? readEngine(response) : readService(response);
}
