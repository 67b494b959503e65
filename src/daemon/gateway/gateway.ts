/** Composes a gateway, one router on the target platform, and controls its start, readiness and graceful stop. */
import type { Server } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import { createContainedServer } from "../../common/contained-server.js";
import { FailureReporter } from "../../common/failure-boundary.js";
import { LifeCycle } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { MemoryLedger } from "../../common/memory-ledger.js";
import { SystemRandom } from "../../common/random.js";
import { createPeerServer } from "../../connection/gateway/peer-server.js";
import type { GatewayConfiguration } from "../../domain/gateway/configuration.js";
import { type ClientLimits, resolveClientLimits } from "../../process/gateway/client-limits.js";
import { EventLoopMonitor } from "../../process/gateway/event-loop-monitor.js";
import type { GatewaySettings } from "../../process/gateway/settings.js";
import { ShutdownGrace } from "../../process/gateway/shutdown-grace.js";
import { createMetricsServer, PrometheusMetrics } from "../../process/metrics/prometheus-metrics.js";
import { GatewayConfigurationIndex } from "../../version/gateway/gateway-configuration-index.js";
import { CallerDrain } from "./caller-drain.js";
import { createGatewayState, type GatewayState } from "./gateway-state.js";
import { createManagedListener } from "./managed-listener.js";
import { createMemoryLedger } from "./memory-ledger.js";
import type { GatewayPlatform } from "./platform.js";
import { createRequestPath, type RequestPath } from "./request-path.js";

const millisecondsPerSecond = 1_000;
/** Part of the shutdown grace period that is reserved for stopping components and exiting the process. */
const exitReserveMilliseconds = 400;
const componentStopTimeoutMilliseconds = 500;
/** Limits the header bytes that the HTTP parser buffers; four times the limit that operators configure today. */
const maximumHeaderBytes = 65_536;
const connectionCheckIntervalMilliseconds = 1_000;

export class Gateway {
    private readonly failures: FailureReporter;
    private readonly lifeCycle: LifeCycle;
    private readonly state: GatewayState;
    private readonly requestPath: RequestPath;
    private readonly callers: Server;
    private configurationIndex: GatewayConfigurationIndex | undefined;
    private readonly shutdown = new ShutdownGrace();
    /** Whether every model has had a complete layer path at least once; from then on, readiness ignores paths. */
    private hasBeenRoutable = false;
    private stopping: Promise<void> | undefined;

    constructor(
        private readonly settings: GatewaySettings,
        platform: GatewayPlatform,
        private readonly logger: Logger,
        metrics: PrometheusMetrics = new PrometheusMetrics(),
        private readonly limits: ClientLimits = resolveClientLimits(settings),
        memory: MemoryLedger = createMemoryLedger(limits.heldMemoryBytes, metrics, logger),
    ) {
        const random = new SystemRandom();
        const failures = new FailureReporter(metrics, logger.withLabel("failures"));
        this.failures = failures;
        this.lifeCycle = new LifeCycle(logger, componentStopTimeoutMilliseconds);
        this.state = createGatewayState({ settings, platform, random, failures, metrics, logger });
        this.requestPath = createRequestPath({
            settings,
            platform,
            state: this.state,
            limits,
            memory,
            configurationIndex: () => this.configurationIndex,
            shutdown: this.shutdown,
            random,
            failures,
            metrics,
            logger,
        });
        this.callers = this.createCallerServer();
        const applyConfiguration = failures.createBoundary("configuration change")
            .wrap((configuration: GatewayConfiguration) => this.applyConfiguration(configuration));
        this.state.configuration.changes.observe(applyConfiguration)
            .catch((error: unknown) =>
                logger.error("configuration observer failed; new configurations are no longer applied", {
                    error: String(error),
                })
            );
        this.addComponents(metrics, memory);
    }

    async start(): Promise<void> {
        await this.lifeCycle.start();
        this.logger.info("gateway started", { zone: this.settings.router.availabilityZone });
    }

    /**
     * Reports not ready, keeps accepting connections until the platform has noticed, and stops once every connection has
     * ended or the grace period is over; requests that have no response by then get an error response. Later calls return the
     * promise of the first.
     */
    stop(): Promise<void> {
        this.stopping ??= this.drainAndStop();
        return this.stopping;
    }

    private async drainAndStop(): Promise<void> {
        const { handler } = this.requestPath;
        const startedAt = monotonicNow();
        const graceMilliseconds = this.settings.bounds.shutdownGraceSeconds * millisecondsPerSecond
            - exitReserveMilliseconds;
        this.logger.info("gateway stopping; waiting for requests in flight", {
            requestsInFlight: handler.requestsInFlight,
        });
        await new CallerDrain(this.callers, handler, this.shutdown).run(graceMilliseconds);
        this.logger.info("gateway stopped serving", {
            requestsInFlight: handler.requestsInFlight,
            milliseconds: Math.round(monotonicNow() - startedAt),
        });
        await this.lifeCycle.stop();
    }

    private createCallerServer(): Server {
        const server = createContainedServer("caller request", this.failures, this.requestPath.handler.handle, {
            maxHeaderSize: maximumHeaderBytes,
            connectionsCheckingInterval: connectionCheckIntervalMilliseconds,
            noDelay: true,
            requestTimeout: 0,
        });
        const boundary = this.failures.createBoundary("caller connection");
        server.on("clientError", boundary.wrap(this.requestPath.handler.handleConnectionError));
        server.on("connection", boundary.wrap(this.requestPath.handler.handleConnection));
        server.maxConnections = this.limits.maximumConnections;
        return server;
    }

    private addComponents(metrics: PrometheusMetrics, memory: MemoryLedger): void {
        const { listen } = this.settings;
        const { failures } = this;
        const { fleetLoad, retries, slowdownSurvey, shares } = this.requestPath;
        const { registry, storeWatcher, storeEra, snapshotFallback, routers, leadership, recordWriters } = this.state;
        const readiness = createContainedServer("readiness request", this.failures, (_request, response) => {
            response.writeHead(this.isReady() ? 200 : 503, { "Content-Length": "0" });
            response.end();
        });
        const peers = createPeerServer({
            receiveNotice: notice => {
                storeEra.observe(notice.storeEra);
                registry.applyNotice(notice.servers);
                fleetLoad.applyOtherLoads(notice.otherLoads, notice.otherWork);
                retries.applyGrants(notice.retryGrants);
                slowdownSurvey.applyNotice(notice.slowdowns);
                shares.applyLimits(notice.customerLimits);
                return {
                    loads: fleetLoad.localLoads,
                    work: fleetLoad.localWork,
                    retryUsage: retries.report,
                    customerDemands: shares.takeDemands(),
                };
            },
            acceptLeadership: offer => leadership.adopt(offer),
            snapshotAfter: position => this.state.snapshotAfter(position),
            configurationAfter: version => this.state.configurationAfter(version),
            knowledge: () => this.state.knowledgeExchange.knowledge,
            memory,
            failures,
            logger: this.logger.withLabel("peers"),
        });
        const metricsServer = createMetricsServer(metrics, failures);
        this.lifeCycle.add(new EventLoopMonitor(metrics, failures, this.logger.withLabel("event-loop")));
        this.lifeCycle.add(createManagedListener("caller listener", this.callers, listen.callers, failures));
        this.lifeCycle.add(createManagedListener("readiness listener", readiness, listen.readiness, failures));
        this.lifeCycle.add(createManagedListener("peer listener", peers, listen.peers, failures));
        this.lifeCycle.add(createManagedListener("metrics listener", metricsServer, listen.metrics, failures));
        this.lifeCycle.add(this.state.peerClient);
        this.lifeCycle.add(storeWatcher);
        recordWriters.forEach(writer => this.lifeCycle.add(writer));
        this.lifeCycle.add(this.state.recovery);
        this.lifeCycle.add(snapshotFallback);
        this.lifeCycle.add(routers);
        this.lifeCycle.add(leadership);
        this.lifeCycle.add(slowdownSurvey);
        this.lifeCycle.add(this.requestPath.placement);
    }

    private applyConfiguration(configuration: GatewayConfiguration): void {
        this.configurationIndex = new GatewayConfigurationIndex(configuration);
        this.callers.headersTimeout = configuration.limits.headerTimeoutMilliseconds;
        this.callers.keepAliveTimeout = configuration.limits.idleTimeoutMilliseconds;
    }

    private isReady(): boolean {
        if (this.shutdown.begun || this.configurationIndex === undefined || !this.state.registry.isLoaded) {
            return false;
        }
        this.hasBeenRoutable ||= this.everyModelHasPath();
        return this.hasBeenRoutable;
    }

    private everyModelHasPath(): boolean {
        return [...this.state.configuration.current?.services.values() ?? []].every(({ name, engine }) => {
            if (engine === undefined) {
                return true;
            }
            const size = { promptTokens: engine.typicalPromptTokens, outputTokens: engine.typicalOutputTokens };
            return this.requestPath.paths.choose(name, engine, size, new Set()) !== undefined;
        });
    }
}
