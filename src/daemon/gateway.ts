/** Composes a gateway from its parts, and starts and stops them in order. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { delay, monotonicNow } from "../common/clock.js";
import { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import { SystemRandom } from "../common/random.js";
import { HttpServerControl } from "../connection/gateway/http-server-control.js";
import { createNoticeServer, HttpNoticeSender } from "../connection/gateway/peer-notices.js";
import { ConnectReachabilityCheck } from "../connection/gateway/reachability.js";
import type { Dialect } from "../domain/gateway/dialect.js";
import type { MetadataStore } from "../domain/gateway/metadata-store.js";
import { formatSocketAddress, type SocketAddress } from "../domain/gateway/server-entry.js";
import type { StoreLayout } from "../domain/gateway/store-layout.js";
import { ConfigurationInForce } from "../process/gateway/configuration-in-force.js";
import { PlacementLeadership } from "../process/gateway/layer-placement/placement-leadership.js";
import { PlacementLoop } from "../process/gateway/layer-placement/placement-loop.js";
import { ZoneLayerPlanner } from "../process/gateway/layer-placement/zone-layer-planner.js";
import { RetryAllowance } from "../process/gateway/retry-allowance.js";
import { RouterDirectory } from "../process/gateway/router-directory.js";
import { ServerLoad } from "../process/gateway/server-load.js";
import { ServerRegistry } from "../process/gateway/server-registry.js";
import { ServerSuspicions } from "../process/gateway/server-suspicions.js";
import type { GatewaySettings } from "../process/gateway/settings.js";
import { StoreContents } from "../process/gateway/store-contents.js";
import { StoreFollower } from "../process/gateway/store-follower.js";
import { GatewayHandler } from "../request/gateway/gateway-handler.js";
import { GatewayHeaders } from "../request/gateway/headers.js";
import { LayerPathChooser } from "../request/gateway/layer-path-chooser.js";
import { CheapestLayerPathFinder } from "../request/gateway/layer-path-finder.js";
import { PlainForwarder } from "../request/gateway/plain-forwarder.js";
import { LeastLoadedServerChooser } from "../request/gateway/plain-server-chooser.js";
import { StreamForwarder } from "../request/gateway/stream-forwarder.js";
import { GatewayVersion } from "../version/gateway/gateway-version.js";

/** What the platform's adapter brings. */
export interface GatewayPlatform {
    readonly store: MetadataStore;
    readonly layout: StoreLayout;
    readonly dialect: Dialect;
}

const millisecondsPerSecond = 1_000;
/** Part of the drain bound in which a leaving server may still be used: the rest covers the way to it. */
const leavingUseShare = 0.85;
/** The platform asks for readiness once a second and takes two misses; until then it sends new connections. */
const noticeMilliseconds = 2_500;
/** Left of the grace time for ending the process. */
const exitReserveMilliseconds = 400;
const stopReviewMilliseconds = 50;
const stopPartMilliseconds = 500;
/** Headers over the operator's limit are refused by the parser; this bounds what it buffers before the limit is known. */
const maximumHeaderBytes = 65_536;
const connectionCheckMilliseconds = 1_000;
/** Descriptors that are kept for files, backend servers and the store. */
const reservedDescriptorShare = 0.5;

export class Gateway {
    private readonly lifeCycle: LifeCycle;
    private readonly handler: GatewayHandler;
    private readonly callers: Server;
    private readonly readiness: Server;
    private readonly configuration: ConfigurationInForce;
    private readonly registry: ServerRegistry;
    private readonly paths: LayerPathChooser;
    private version: GatewayVersion | undefined;
    private stopping = false;
    private pathSeen = false;

    constructor(
        private readonly settings: GatewaySettings,
        platform: GatewayPlatform,
        private readonly logger: Logger,
    ) {
        const random = new SystemRandom();
        const { bounds, router } = settings;
        this.lifeCycle = new LifeCycle(logger, stopPartMilliseconds);
        this.configuration = new ConfigurationInForce(logger.withLabel("configuration"));
        this.registry = new ServerRegistry(bounds.drainMilliseconds * leavingUseShare, logger.withLabel("registry"));
        const holder = `${router.name}/${process.pid}/${
            Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)
        }`;
        const leadership = new PlacementLeadership(
            platform.store,
            platform.layout.placementLeaderKey,
            holder,
            settings.store.minimumLeaseMilliseconds,
            random,
            logger.withLabel("placement"),
        );
        const routers = new RouterDirectory(
            platform.store,
            platform.layout.routerKeyPrefix,
            router.name,
            formatSocketAddress(settings.listen.peers),
            logger.withLabel("routers"),
        );
        const contents = new StoreContents(
            platform.layout,
            this.configuration,
            this.registry,
            routers,
            leadership,
            logger.withLabel("store"),
        );
        const follower = new StoreFollower(
            platform.store,
            platform.layout.rootPrefix,
            contents,
            random,
            logger.withLabel("store"),
        );
        const load = new ServerLoad();
        const suspicions = new ServerSuspicions(logger.withLabel("suspicions"));
        const headers = new GatewayHeaders(platform.dialect);
        const leavingUseMilliseconds = bounds.drainMilliseconds * leavingUseShare;
        const retries = new RetryAllowance({
            ratio: bounds.retryRatio,
            windowMilliseconds: bounds.retryWindowSeconds * millisecondsPerSecond,
            extra: bounds.retryExtra,
            routerCount: () => routers.recentMaximum,
        });
        this.paths = new LayerPathChooser(this.registry, load, suspicions, new CheapestLayerPathFinder(random), {
            homeZone: router.availabilityZone,
            leavingUseMilliseconds,
            routerCount: () => routers.count,
        });
        const control = new HttpServerControl(platform.dialect);
        const shared = {
            dialect: platform.dialect,
            headers,
            load,
            suspicions,
            retries,
            logger: logger.withLabel("request"),
        };
        this.handler = new GatewayHandler({
            dialect: platform.dialect,
            currentVersion: () => this.version,
            closing: () => this.stopping,
            plain: new PlainForwarder({
                ...shared,
                servers: new LeastLoadedServerChooser(this.registry, load, suspicions, random, leavingUseMilliseconds),
            }),
            streams: new StreamForwarder({
                ...shared,
                paths: this.paths,
                registry: this.registry,
                control,
                reachability: new ConnectReachabilityCheck(),
            }),
            random,
            logger: logger.withLabel("request"),
        });
        this.callers = createServer({
            maxHeaderSize: maximumHeaderBytes,
            connectionsCheckingInterval: connectionCheckMilliseconds,
            noDelay: true,
            requestTimeout: 0,
        }, this.handler.handle);
        this.callers.maxConnections = Math.floor(settings.machine.maximumDescriptors * reservedDescriptorShare);
        this.readiness = createServer((request, response) => this.answerReadiness(request, response));
        const loop = new PlacementLoop({
            registry: this.registry,
            configuration: this.configuration,
            leadership,
            suspicions,
            planner: new ZoneLayerPlanner(),
            control,
            notices: new HttpNoticeSender(() => routers.others, logger.withLabel("notices")),
            routerName: router.name,
            logger: logger.withLabel("placement"),
        });
        const peers = createNoticeServer(notice => this.registry.applyNotice(notice), logger.withLabel("notices"));
        this.configuration.changes.observe(configuration => {
            this.version = new GatewayVersion(configuration);
            this.callers.headersTimeout = configuration.limits.headerTimeoutMilliseconds;
            this.callers.keepAliveTimeout = configuration.limits.idleTimeoutMilliseconds;
        }).catch((error: unknown) => logger.error("configuration changes ended", { error: String(error) }));
        this.lifeCycle.add(listening("caller listener", this.callers, settings.listen.callers));
        this.lifeCycle.add(listening("readiness listener", this.readiness, settings.listen.readiness));
        this.lifeCycle.add(listening("peer listener", peers, settings.listen.peers));
        this.lifeCycle.add(follower);
        this.lifeCycle.add(routers);
        this.lifeCycle.add(leadership);
        this.lifeCycle.add(loop);
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
        const begunAt = monotonicNow();
        const grace = this.settings.bounds.shutdownGraceSeconds * millisecondsPerSecond - exitReserveMilliseconds;
        this.logger.info("stopping", { requestsInFlight: this.handler.requestsInFlight });
        await delay(Math.min(noticeMilliseconds, grace / 2));
        this.callers.close();
        this.callers.closeIdleConnections();
        while (this.handler.requestsInFlight > 0 && monotonicNow() - begunAt < grace) {
            await delay(stopReviewMilliseconds);
            this.callers.closeIdleConnections();
        }
        this.logger.info("stopped", {
            requestsInFlight: this.handler.requestsInFlight,
            milliseconds: Math.round(monotonicNow() - begunAt),
        });
        await this.lifeCycle.stop();
    }

    private answerReadiness(_request: IncomingMessage, response: ServerResponse): void {
        response.writeHead(this.isReady() ? 200 : 503, { "Content-Length": "0" });
        response.end();
    }

    private isReady(): boolean {
        if (this.stopping || this.version === undefined || !this.registry.known) {
            return false;
        }
        this.pathSeen ||= this.everyModelHasPath();
        return this.pathSeen;
    }

    private everyModelHasPath(): boolean {
        return [...this.configuration.current?.services.values() ?? []].every(({ name, engine }) =>
            engine === undefined || this.paths.choose(
                    name,
                    engine,
                    { promptTokens: engine.usualPromptTokens, answerTokens: engine.usualAnswerTokens },
                    new Set(),
                ) !== undefined
        );
    }
}

function listening(name: string, server: Server, address: SocketAddress) {
    return {
        name,
        start: () =>
            new Promise<void>((resolve, reject) => {
                server.once("error", reject);
                server.listen(address.port, address.host, () => {
                    server.off("error", reject);
                    resolve();
                });
            }),
        stop: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
