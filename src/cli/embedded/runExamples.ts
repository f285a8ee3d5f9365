/**
 * Makes the example calls on an embedded deployment: a long report, a label, a call that may run
 * only once and is sent twice, and a lookup.
 */
import { CallerClient } from '../CallerClient';
import type { EmbeddedDeployment } from './EmbeddedDeployment';

const LONG_OUTPUT_TOKENS = 600;
const SHORT_OUTPUT_TOKENS = 12;

/** Outcome of one example call, with a description for people. @internal */
export interface ExampleOutcome {
  readonly isSuccessful: boolean;
  readonly text: string;
}

function findService(deployment: EmbeddedDeployment, kindOfWork: string): string {
  const kind = deployment.layout.contract.kindsOfWork.find(({ name }) => name === kindOfWork);
  return kind?.type === 'call' ? kind.service : '';
}

function findModel(deployment: EmbeddedDeployment, kindOfWork: string): string {
  const kind = deployment.layout.contract.kindsOfWork.find(({ name }) => name === kindOfWork);
  return kind?.type === 'generation' ? kind.model : '';
}

async function runGeneration(
  deployment: EmbeddedDeployment,
  client: CallerClient,
  kindOfWork: string,
  outputTokens: number,
): Promise<ExampleOutcome> {
  const body = {
    model: findModel(deployment, kindOfWork),
    messages: [{ role: 'user', content: `Write a ${kindOfWork}.` }],
    metadata: { output_tokens: outputTokens },
  };
  const startedMs = performance.now();
  let firstTokenMs = 0;
  const result = await client.generate(body, kindOfWork, ({ tokens }) => {
    if (tokens === 1) firstTokenMs = performance.now() - startedMs;
  });
  const isSuccessful = result.isComplete && result.tokens === outputTokens;
  return {
    isSuccessful,
    text:
      `${kindOfWork}: ${isSuccessful ? 'complete' : 'NOT complete'}, ${result.tokens} tokens in ` +
      `order, first after ${Math.round(firstTokenMs)} ms, all after ` +
      `${Math.round(performance.now() - startedMs)} ms (request ${result.requestId})${
        result.problem ? `: ${result.problem.reason}` : ''
      }`,
  };
}

async function runRepeatedCall(
  deployment: EmbeddedDeployment,
  clients: ReadonlyArray<CallerClient>,
): Promise<ExampleOutcome> {
  const { onceKind } = deployment.layout;
  const service = findService(deployment, onceKind);
  const [first, second] = clients;
  if (!first || !second) return { isSuccessful: false, text: `${onceKind}: too few nodes` };
  const key = await first.issueKey(onceKind);
  const body = JSON.stringify({ id: key.slice(0, 24), amount: 12 });
  const response = await first.callService(service, '/', onceKind, body, key);
  const repeat = await second.callService(service, '/', onceKind, body, key);
  const runs = deployment.countRuns(service, key.slice(0, 24));
  const isSame = response.status === repeat.status && response.body === repeat.body;
  return {
    isSuccessful: runs === 1 && isSame && response.status === 200,
    text:
      `${onceKind}: sent twice through two nodes, the service ran it ${runs} time(s), ` +
      `${isSame ? 'both got the same answer' : 'the answers DIFFER'} (status ${response.status}` +
      `${response.problem ? `, ${response.problem.kind}` : ''})`,
  };
}

async function runLookup(
  deployment: EmbeddedDeployment,
  client: CallerClient,
): Promise<ExampleOutcome> {
  const { lookupKind } = deployment.layout;
  const startedMs = performance.now();
  const service = findService(deployment, lookupKind);
  const response = await client.callService(service, '/item-7', lookupKind, '{"id":"lookup-1"}');
  return {
    isSuccessful: response.status === 200,
    text:
      `${lookupKind}: status ${response.status} after ` +
      `${Math.round(performance.now() - startedMs)} ms while the long report was running`,
  };
}

/** Runs all example calls concurrently, so that the others compete with the long report. */
export async function runExamples(
  deployment: EmbeddedDeployment,
): Promise<ReadonlyArray<ExampleOutcome>> {
  const { apiKey, longKind, shortKind } = deployment.layout;
  const clients = deployment.callerUrls.map((url) => new CallerClient([url], apiKey));
  const [client] = clients;
  if (!client) return [];
  return Promise.all([
    runGeneration(deployment, client, longKind, LONG_OUTPUT_TOKENS),
    runGeneration(deployment, client, shortKind, SHORT_OUTPUT_TOKENS),
    runRepeatedCall(deployment, clients),
    runLookup(deployment, client),
  ]);
}
