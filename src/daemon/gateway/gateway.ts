/** A gateway: one router on the users' platform, composed from its parts, with its start, readiness and graceful stop. */
import { createServer, type Server } from "node:http";
import { delay, monotonicNow } from "../../common/clock.js";
import { LifeCycle } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import { SystemRandom } from "../../common/random.js";
import { createPeerServer } from "../../connection/gateway/peer-server.js";
import type { GatewayConfiguration } from "../../domain/gateway/configuration.js";
import type { GatewaySettings } from "../../process/gateway/settings.js";
import { createMetricsServer, TextMetrics } from "../../process/metrics/text-metrics.js";
import { GatewayConfigurationIndex } from "../../version/gateway/gateway-version.js";
import { createKnownState, type KnownState } from "./known-state.js";
import { listening } from "./listening.js";
import type { GatewayPlatform } from "./platform.js";
import { createRequestPath, type RequestPath } from "./request-path.js";

const millisecondsPerSecond = 1_000;
/** The platform asks for readiness once a second and takes two misses; until then it sends new connections. */
const noticeMilliseconds = 2_500;
/** Left of the grace time for ending the process. */
const exitReserveMilliseconds = 400;
const stopReviewMilliseconds = 50;
const stopPartMilliseconds = 500;
/** Bounds what the parser buffers for a request's headers; four times what operators allow today. */
const maximumHeaderBytes = 65_536;
const connectionCheckMilliseconds = 1_000;
/** Half of the descriptors is left for files, backend servers and the store. */
const callerDescriptorShare = 0.5;

export class Gateway {
    private readonly lifeCycle: LifeCycle;
    private readonly state: KnownState;
    private readonly requestPath: RequestPath;
    private readonly callers: Server;
    private version: GatewayConfigurationIndex | undefined;
    private stopping = false;
    private pathSeen = false;

    constructor(
        private readonly settings: GatewaySettings,
        platform: GatewayPlatform,
        private readonly logger: Logger,
        metrics: TextMetrics = new TextMetrics(),
    ) {
        const random = new SystemRandom();
        this.lifeCycle = new LifeCycle(logger, stopPartMilliseconds);
        this.state = createKnownState(settings, platform, random, logger);
        this.requestPath = createRequestPath({
            settings,
            platform,
            state: this.state,
            currentVersion: () => this.version,
            closing: () => this.stopping,
            random,
            metrics,
            logger,
        });
        this.callers = this.createCallerServer();
        this.state.configuration.changes.observe(configuration => this.applyConfiguration(configuration))
            .catch((error: unknown) => logger.error("configuration changes ended", { error: String(error) }));
        this.addParts(metrics);
    }

    async start(): Promise<void> {
        await this.lifeCycle.start();
        this.logger.info("started", { zone: this.settings.router.availabilityZone });
    }

    /** Reports not ready, serves on while the platform takes notice, and ends once every request is answered. */
    async stop(): Promise<void> {
        if (this.stopping) {
            return;
        }
        this.stopping = true;
        const { handler } = this.requestPath;
        const begunAt = monotonicNow();
        const grace = this.settings.bounds.shutdownGraceSeconds * millisecondsPerSecond - exitReserveMilliseconds;
        this.logger.info("stopping", { requestsInFlight: handler.requestsInFlight });
        await delay(Math.min(noticeMilliseconds, grace / 2));
        this.callers.close();
        while (handler.requestsInFlight > 0 && monotonicNow() - begunAt < grace) {
            this.callers.closeIdleConnections();
            await delay(stopReviewMilliseconds);
        }
        this.logger.info("stopped", {
            requestsInFlight: handler.requestsInFlight,
            milliseconds: Math.round(monotonicNow() - begunAt),
        });
        await this.lifeCycle.stop();
    }

    private createCallerServer(): Server {
        const server = createServer({
            maxHeaderSize: maximumHeaderBytes,
            connectionsCheckingInterval: connectionCheckMilliseconds,
            noDelay: true,
            requestTimeout: 0,
        }, this.requestPath.handler.handle);
        server.maxConnections = Math.floor(this.settings.machine.maximumDescriptors * callerDescriptorShare);
        return server;
    }

    private addParts(metrics: TextMetrics): void {
        const { listen } = this.settings;
        const { fleetLoad } = this.requestPath;
        const { registry, follower, image, relay, routers, leadership } = this.state;
        const readiness = createServer((_request, response) => {
            response.writeHead(this.isReady() ? 200 : 503, { "Content-Length": "0" });
            response.end();
        });
        const peers = createPeerServer({
            receiveNotice: notice => {
                registry.applyNotice(notice.servers);
                fleetLoad.applyOtherLoads(notice.otherLoads);
                return fleetLoad.localLoads;
            },
            takeLeadership: offer => leadership.adopt(offer),
            snapshotAfter: revision => image.snapshotAfter(revision),
            logger: this.logger.withLabel("peers"),
        });
        this.lifeCycle.add(listening("caller listener", this.callers, listen.callers));
        this.lifeCycle.add(listening("readiness listener", readiness, listen.readiness));
        this.lifeCycle.add(listening("peer listener", peers, listen.peers));
        this.lifeCycle.add(listening("metrics listener", createMetricsServer(metrics), listen.metrics));
        this.lifeCycle.add(follower);
        this.lifeCycle.add(relay);
        this.lifeCycle.add(routers);
        this.lifeCycle.add(leadership);
        this.lifeCycle.add(this.requestPath.placement);
    }

    private applyConfiguration(configuration: GatewayConfiguration): void {
        this.version = new GatewayConfigurationIndex(configuration);
        this.callers.headersTimeout = configuration.limits.headerTimeoutMilliseconds;
        this.callers.keepAliveTimeout = configuration.limits.idleTimeoutMilliseconds;
    }

    private isReady(): boolean {
        if (this.stopping || this.version === undefined || !this.state.registry.isLoaded) {
            return false;
        }
        this.pathSeen ||= this.everyModelHasPath();
        return this.pathSeen;
    }

    private everyModelHasPath(): boolean {
        return [...this.state.configuration.current?.services.values() ?? []].every(({ name, engine }) => {
            if (engine === undefined) {
                return true;
            }
            const size = { promptTokens: engine.usualPromptTokens, outputTokens: engine.usualAnswerTokens };
            return this.requestPath.paths.choose(name, engine, size, new Set()) !== undefined;
        });
    }
}
