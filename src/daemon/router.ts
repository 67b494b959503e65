/** Composes a router from its components and sets the order in which they start and stop. */
import { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import { type RandomSource, SystemRandom } from "../common/random.js";
import type { ConfigurationSource } from "../domain/configuration.js";
import type { KeyValueService, VmList } from "../domain/platform.js";
import { ConfigurationStore, isPlatformWatcher } from "../process/configuration/index.js";
import { DrainController } from "../process/drain/drain-controller.js";
import { HttpListener, type ListenerCertificates } from "../process/http/http-listener.js";
import { OperatorHandler } from "../process/operator/operator-handler.js";
import { buildPlacementStatus } from "../process/placement/placement-status.js";
import { HttpKeyValueService, HttpPlatformClient, HttpVmList } from "../process/platform/index.js";
import type { RouterSettings } from "../process/settings/schema.js";
import { buildConfiguration, createEmptyConfiguration } from "../version/sheet/index.js";
import { BackendServerComponents } from "./backend-servers.js";
import { CurrentPipelineChooser } from "./current-pipeline-chooser.js";
import { readListenerCertificates } from "./listener-certificates.js";
import { createOperatorEndpoints } from "./operator-endpoints.js";
import { PeerComponents } from "./peers.js";
import { PlacementComponents } from "./placement.js";
import { RequestPath } from "./request-path.js";

export interface RouterDependencies {
    readonly settings: RouterSettings;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Credential sent with control orders, for backend servers that require one. */
    readonly orderCredential?: string;
}

/** Components that are created before those that need the peer address. */
interface SharedComponents {
    readonly random: RandomSource;
    readonly keyValueClient: HttpPlatformClient;
    readonly vmListClient: HttpPlatformClient;
    readonly vmList: VmList;
    readonly peers: PeerComponents;
    /** Undefined if the load balancer terminates TLS. */
    readonly callerCertificates: ListenerCertificates | undefined;
}

const operatorRequestTimeoutMilliseconds = 10_000;
const maximumOperatorConnections = 100;

/** Key that is read to check whether the platform's key-value service responds; the key need not exist. */
const reachabilityKey = "pomelostall/reachable";

export class Router {
    readonly drain: DrainController;
    readonly configurations: ConfigurationSource;
    /** Resolves when the router has drained and every component has stopped. */
    readonly stopped: Promise<void>;
    private readonly lifeCycle: LifeCycle;
    private readonly peersBaseUrl: string;
    private readonly callers: HttpListener;
    private readonly operators: HttpListener;
    private resolveStopped: () => void = () => undefined;
    private stopping: Promise<void> | undefined;

    private constructor({ settings, logger, metrics, orderCredential }: RouterDependencies, shared: SharedComponents) {
        const { random, keyValueClient, vmListClient, vmList, peers } = shared;
        this.stopped = new Promise(resolve => {
            this.resolveStopped = resolve;
        });
        this.lifeCycle = new LifeCycle(logger);
        this.drain = new DrainController(settings.drain, logger.withLabel("drain"));
        const keyValueService = new HttpKeyValueService(keyValueClient);
        const fleet = peers.membership;
        this.peersBaseUrl = fleet.self.address;
        const configurations = new ConfigurationStore({
            initial: createEmptyConfiguration(),
            parse: buildConfiguration,
            keyValueService,
            exchange: peers.versions,
            watchesPlatform: () => isPlatformWatcher(fleet),
            routerTotal: () => fleet.members().length,
            random,
            logger: logger.withLabel("configuration"),
            metrics,
        });
        fleet.provideVersions(configurations);
        this.configurations = configurations;
        const backendServers = new BackendServerComponents({
            settings,
            orderCredential,
            vmList,
            fleet,
            configurations,
            random,
            logger,
            metrics,
        });
        const chooser = new CurrentPipelineChooser({
            location: fleet.self.location,
            configurations,
            servers: backendServers.registry,
            random,
            logger: logger.withLabel("pipeline-choice"),
        });
        const requestPath = new RequestPath({
            settings,
            configurations,
            drain: this.drain,
            keyValueService,
            peers,
            backendServers,
            chooser,
            random,
            logger,
            metrics,
        });
        this.callers = new HttpListener({
            name: "callers",
            host: settings.callers.host,
            port: settings.callers.port,
            headersTimeoutMilliseconds: settings.callers.headersTimeoutMilliseconds,
            requestTimeoutMilliseconds: settings.callers.headersTimeoutMilliseconds
                + settings.callers.bodyTimeoutMilliseconds,
            maximumConnections: settings.callers.maximumConnections,
            certificates: shared.callerCertificates,
        }, requestPath.handler.listener);
        const placement = new PlacementComponents({
            keyValueService,
            fleet,
            operatorsAddress: `http://${settings.operators.host}:${settings.operators.port}`,
            registry: backendServers.registry,
            configurations,
            connections: backendServers.connections,
            random,
            logger,
            metrics,
        });
        const endpoints = createOperatorEndpoints({
            configurations,
            fleet,
            drain: this.drain,
            chooser,
            callersAddress: () => this.callers.address,
            platformReachable: () => isReachable(keyValueService, settings.platform.timeoutMilliseconds),
            backendServers: () => backendServers.status(),
            placement: () => buildPlacementStatus(placement.holder),
            requestStop: () => void this.stop(),
        });
        const operatorHandler = new OperatorHandler(
            endpoints,
            settings.operators.credentialHash,
            logger.withLabel("operators"),
        );
        this.operators = new HttpListener({
            name: "operators",
            host: settings.operators.host,
            port: settings.operators.port,
            headersTimeoutMilliseconds: operatorRequestTimeoutMilliseconds,
            requestTimeoutMilliseconds: operatorRequestTimeoutMilliseconds,
            maximumConnections: maximumOperatorConnections,
        }, operatorHandler.listener);
        this.lifeCycle.addCloseHandler("key-value client", () => keyValueClient.close());
        this.lifeCycle.addCloseHandler("VM list client", () => vmListClient.close());
        peers.addTo(this.lifeCycle);
        this.lifeCycle.add(configurations);
        this.lifeCycle.addCloseHandler("backend server connections", async () => backendServers.connections.close());
        this.lifeCycle.add(backendServers.registry);
        requestPath.addTo(this.lifeCycle);
        if (settings.placement.enabled) {
            this.lifeCycle.add(placement.placementFleet);
            this.lifeCycle.add(placement.holder);
        }
        this.lifeCycle.add(this.operators);
        this.lifeCycle.add(this.callers);
    }

    /** Creates a router whose peer interface is already listening; all other components start in `start`. */
    static async create(dependencies: RouterDependencies): Promise<Router> {
        const { settings, logger, metrics } = dependencies;
        const random = new SystemRandom();
        const vmListClient = new HttpPlatformClient(settings.platform.vmListAddresses);
        const vmList = new HttpVmList(vmListClient);
        const { tls } = settings.callers;
        const callerCertificates = tls === undefined ? undefined : await readListenerCertificates(tls);
        const peers = await PeerComponents.listen({ settings, vmList, random, logger, metrics });
        const keyValueClient = new HttpPlatformClient(settings.platform.keyValueAddresses);
        return new Router(dependencies, { random, keyValueClient, vmListClient, vmList, peers, callerCertificates });
    }

    /** Base URL for callers; known after start. */
    get callersAddress(): string {
        return this.callers.address;
    }

    /** Base URL for other routers. */
    get peersAddress(): string {
        return this.peersBaseUrl;
    }

    /** Base URL for operators; known after start. */
    get operatorsAddress(): string {
        return this.operators.address;
    }

    start(): Promise<void> {
        return this.lifeCycle.start();
    }

    /** Drains the router, then stops every component. Later calls return the promise of the first. */
    stop(): Promise<void> {
        this.stopping ??= this.drainAndStop();
        return this.stopping;
    }

    private async drainAndStop(): Promise<void> {
        await this.drain.drain();
        await this.lifeCycle.stop();
        this.resolveStopped();
    }
}

/** Whether the platform's key-value service responds within the timeout. */
async function isReachable(keyValueService: KeyValueService, timeoutMilliseconds: number): Promise<boolean> {
    try {
        await keyValueService.get(reachabilityKey, timeoutMilliseconds);
        return true;
    }
    catch {
        return false;
    }
}
