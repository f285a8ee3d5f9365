/**
 * Plug-in that forwards callers' requests to endpoints.
 */
import { Plugin, registerPlugin } from '../../kernel';
import {
  computeConnectionBudget,
  computeFreshnessThresholds,
  EndpointHealth,
  EndpointPace,
  EndpointSpeeds,
} from '../../decisions';
import {
  CallerAdmission,
  Deployment,
  FrontSettingsStore,
  GaugeSource,
  HttpRoutes,
  LoadSource,
  Members,
  SharedState,
} from '../../services';
import { readProcessResources } from '../../wire';
import { BrittleQuotas } from './BrittleQuotas';
import { ColdQuotas } from './ColdQuotas';
import { EndpointConnections } from './EndpointConnections';
import { EndpointPlacer } from './EndpointPlacer';
import { EndpointQuotas } from './EndpointQuotas';
import { EndpointSender } from './EndpointSender';
import { CallerListener } from './CallerListener';
import { ConnectionAdmission, ConnectionGauges } from './connectionLoad';
import { CrashReporter } from './CrashReporter';
import { FORWARDING_OPTIONS } from './options';
import { OutputEstimator } from './OutputEstimator';
import { LimitQuotas } from './LimitQuotas';
import { LocalLoad } from './LocalLoad';
import { LoopDelay } from './LoopDelay';
import { LiveRoster } from './LiveRoster';
import { NamedLimits, REJECTION_LIMITS, REQUEST_LIMITS, type EndpointLimits } from './NamedLimits';
import { NodeConnection } from './NodeConnection';
import { NodeDrain } from './NodeDrain';
import { PassingDelivery } from './PassingDelivery';
import { PlacementExplainer } from './PlacementExplainer';
import { PromptGauges } from './PromptGauges';
import { QuotaGauges } from './QuotaGauges';
import { ReachGauges } from './ReachGauges';
import { ReachMonitor } from './ReachMonitor';
import { RetryPolicy } from './RetryPolicy';
import { RequestForwarder } from './RequestForwarder';
import { RequestTable } from './RequestTable';
import { RunMigrator } from './RunMigrator';
import { SegmentOpener } from './SegmentOpener';
import { SharedLimits } from './SharedLimits';
import { SharedReach } from './SharedReach';
import { SilenceWatch } from './SilenceWatch';
import { SpeedGauges } from './SpeedGauges';
import { StreamDelivery } from './StreamDelivery';
import { StreamOpening } from './StreamOpening';
import { WhereRoutes } from './WhereRoutes';
import { WholeDelivery } from './WholeDelivery';

/** Admits callers while this node is serving and its configuration is recently confirmed. */
class FreshConfigurationAdmission extends CallerAdmission {
  constructor(
    private readonly deployment: Deployment,
    private readonly isServing: () => boolean,
  ) {
    super();
  }

  takesCallers(): boolean {
    const { configuration, bounds } = this.deployment;
    const { staleForCallersMs } = computeFreshnessThresholds(bounds.revocationWithinMs);
    const isFresh = this.deployment.getConfirmedAgeMs() < staleForCallersMs;
    return this.isServing() && configuration !== undefined && isFresh;
  }
}

/** @internal */
export class ForwardingPlugin extends Plugin {
  static override readonly type = 'forwarding';

  private readonly connections = new EndpointConnections(this.kernel.clock);

  private readonly estimator = new OutputEstimator();

  private readonly health = new EndpointHealth();

  private readonly pace = new EndpointPace();

  private readonly speeds = new EndpointSpeeds();

  private readonly localLoad = new LocalLoad(this.estimator, this.pace, this.kernel.clock);

  private readonly limits: EndpointLimits = {
    requests: new NamedLimits(this.kernel, REQUEST_LIMITS),
    rejections: new NamedLimits(this.kernel, REJECTION_LIMITS),
  };

  private readonly coldQuotas = new ColdQuotas(this.kernel);

  private readonly liveRoster = new LiveRoster(this.kernel);

  private readonly limitQuotas = new LimitQuotas(this.liveRoster, this.limits.requests);

  private readonly brittleQuotas = new BrittleQuotas(
    this.kernel,
    this.liveRoster,
    this.limits.rejections,
  );

  private readonly quotas: EndpointQuotas = new EndpointQuotas(
    this.kernel,
    [this.coldQuotas, this.limitQuotas, this.brittleQuotas],
    () => this.retryQueued(),
  );

  private readonly placer = new EndpointPlacer(this.kernel, this.estimator, {
    connections: this.connections,
    localLoad: this.localLoad,
    health: this.health,
    pace: this.pace,
    speeds: this.speeds,
    quotas: this.quotas,
  });

  private readonly table = new RequestTable(this.kernel);

  private readonly nodeDrain = new NodeDrain(this.kernel, this.estimator, this.pace);

  private readonly reach = new ReachMonitor(this.kernel);

  private readonly loopDelay = new LoopDelay(this.kernel.clock);

  private forwarder!: RequestForwarder;

  private listener!: CallerListener;

  override setUp(): void {
    const { kernel, connections, placer } = this;
    const deployment = kernel.get(Deployment);
    const sender = new EndpointSender(
      kernel,
      connections,
      placer,
      this.nodeDrain,
      this.limits,
      this.reach,
    );
    const retries = new RetryPolicy(kernel, this.nodeDrain);
    const crashes = new CrashReporter(kernel, this.health, this.reach);
    const sharedReach = new SharedReach(kernel, this.reach);
    const opener = new SegmentOpener(placer, sender, crashes);
    const migrator = new RunMigrator(kernel, placer, this.estimator, retries, opener);
    this.forwarder = new RequestForwarder(kernel, {
      table: this.table,
      delivery: new PassingDelivery(kernel, {
        whole: new WholeDelivery(kernel, placer, sender, retries, crashes),
        stream: new StreamDelivery(kernel, {
          placer,
          opening: new StreamOpening(kernel, placer, opener, retries, this.nodeDrain),
          opener,
          retries,
          migrator,
          silence: new SilenceWatch(kernel, placer, retries, migrator, opener),
          estimator: this.estimator,
          crashes,
        }),
        reach: this.reach,
        sharedReach,
        nodes: new NodeConnection(kernel),
        retries,
      }),
      retries,
      drain: this.nodeDrain,
      loopDelay: this.loopDelay,
    });
    this.listener = this.createListener();
    kernel.provide(GaugeSource, new ConnectionGauges(this.listener));
    kernel.provide(CallerAdmission, new ConnectionAdmission(this.listener));
    deployment.onConfiguration(({ limits }) => {
      if (limits) this.listener.applyLimits(limits);
    });
    deployment.onLeaving((backEnd) => {
      this.health.forget(backEnd.endpointId);
      this.pace.forget(backEnd.endpointId);
      placer.pacer.forget(backEnd.endpointId);
      this.speeds.forget(backEnd.endpointId);
      migrator.migrateAll(backEnd);
    });
    this.reach.onChange(() => this.closeUnreached());
    deployment.onEvacuation(() => placer.retryQueued());
    kernel.get(Members).onUpdate(() => placer.retryQueued());
    kernel.provide(LoadSource, this.localLoad);
    kernel.provide(HttpRoutes, new WhereRoutes(new PlacementExplainer(kernel, placer)));
    kernel.provide(GaugeSource, new PromptGauges(kernel, placer.pacer, this.localLoad));
    kernel.provide(
      GaugeSource,
      new QuotaGauges(this.quotas, this.coldQuotas, {
        kind: 'cold',
        endpoints: 'Cold endpoints whose service limits the requests to them',
      }),
    );
    kernel.provide(
      GaugeSource,
      new QuotaGauges(this.quotas, this.limitQuotas, {
        kind: 'limited',
        endpoints: 'Endpoints that have named a rate limit',
      }),
    );
    kernel.provide(
      GaugeSource,
      new QuotaGauges(this.quotas, this.brittleQuotas, {
        kind: 'brittle',
        endpoints: 'Endpoints that fall over when they reject too many requests in a second',
      }),
    );
    Object.values(this.limits).forEach((limits: NamedLimits) =>
      kernel.provide(SharedState, new SharedLimits(limits, kernel.clock)),
    );
    kernel.provide(SharedState, sharedReach);
    kernel.provide(GaugeSource, new ReachGauges(this.reach));
    kernel.provide(GaugeSource, new SpeedGauges(this.speeds, kernel.clock));
    kernel.provide(
      CallerAdmission,
      new FreshConfigurationAdmission(deployment, () => kernel.state === 'serving'),
    );
  }

  private retryQueued(): void {
    this.placer.retryQueued();
  }

  /** A kept connection that was opened before the loss may hang. */
  private closeUnreached(): void {
    this.reach.listUnreached().forEach((service) => this.connections.closeIdle(service));
    this.retryQueued();
  }

  private createListener(): CallerListener {
    const { connections } = this.kernel.get(FrontSettingsStore).settings;
    const budget = computeConnectionBudget(readProcessResources(connections.maxDescriptors));
    return new CallerListener(
      this.kernel,
      { forwarder: this.forwarder, table: this.table },
      connections,
      { ...budget, heldBytes: connections.maxHeldBytes ?? budget.heldBytes },
    );
  }

  override async start(): Promise<void> {
    const { callerAddress } = this.kernel.settings;
    await this.listener.listen(callerAddress);
    this.kernel.log.info('listening for callers', {
      callerAddress,
      maxConnections: this.listener.limiter.max,
    });
    this.kernel.runTask('end overdue requests', async (signal) => {
      while (!signal.aborted) {
        await this.kernel.clock.sleep(FORWARDING_OPTIONS.overdueCheckIntervalMs, signal);
        this.table.endOverdue();
      }
    });
    this.kernel.runTask('watch the reach of endpoints', async (signal) => this.reach.watch(signal));
    this.kernel.runTask('watch the event loop', async (signal) => this.loopDelay.watch(signal));
    this.kernel.runTask('close unread answers', async (signal) => {
      while (!signal.aborted) {
        await this.kernel.clock.sleep(FORWARDING_OPTIONS.callerCheckIntervalMs, signal);
        this.listener.closeUnread();
      }
    });
    this.kernel.runTask('close expired connections', async (signal) => {
      while (!signal.aborted) {
        this.connections.closeExpired();
        this.quotas.sweep();
        Object.values(this.limits).forEach((limits: NamedLimits) => limits.sweep());
        await this.kernel.clock.sleep(FORWARDING_OPTIONS.reuseDelayMs, signal);
      }
    });
  }

  /**
   * Accepts requests that end in time and, for a part of the time, new connections; then waits for
   * running requests. Those that still run shortly before the process is killed are answered with an
   * error.
   */
  override async drain(): Promise<void> {
    const { clock, log } = this.kernel;
    const { acceptDeadlineMs, answerDeadlineMs, exitDeadlineMs } = this.nodeDrain.start();
    this.listener.closeAfterResponses();
    await clock.sleep(acceptDeadlineMs - clock.nowMs());
    this.listener.stopAccepting();
    await this.table.waitUntilEmpty(answerDeadlineMs);
    const remaining = this.table.list();
    this.nodeDrain.end();
    remaining.forEach((request) => this.table.end(request, this.nodeDrain.explainEnd(request)));
    await this.table.waitUntilEmpty(exitDeadlineMs);
    log.info('forwarding drained', {
      endedRequests: remaining.length,
      cutRequests: this.table.list().length,
    });
  }

  override async dispose(): Promise<void> {
    // Requests may still arrive on open connections; they are refused at once.
    await this.listener.close(this.nodeDrain.exitDeadlineMs);
  }
}

registerPlugin(ForwardingPlugin);
