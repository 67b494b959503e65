/**
 * Simulates placement on a fake clock: production placement holders run against the stand-in platform and stand-in
 * engines. Orders can be delayed and their replies lost, and every order is recorded. For benchmarks and tests.
 */
import { delay, monotonicNow } from "../src/common/clock.js";
import { type Logger, SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { SeededRandom } from "../src/common/random.js";
import type { BackendServerConnection } from "../src/domain/backend-connection.js";
import type { BackendServerDescription, Holding } from "../src/domain/backend-server.js";
import type { Configuration, ConfigurationSource } from "../src/domain/configuration.js";
import type { HoldingsReport, OrderReply, PlacementOrder } from "../src/domain/engine-protocol.js";
import { layerCount } from "../src/domain/layers.js";
import type { ModelDescription } from "../src/domain/model.js";
import { coversAllLayers } from "../src/process/placement/pipeline-chains.js";
import { type PlacementFleet, PlacementHolder } from "../src/process/placement/placement-holder.js";
import { PlacementLease } from "../src/process/placement/placement-lease.js";
import type { PlacementDemand } from "../src/process/placement/types.js";
import {
    InProcessBackendServerConnection,
    InProcessStageNetwork,
    StandInEngine,
    WeightStore,
} from "../src/stand-ins/backend-server/index.js";
import { StandInPlatform } from "../src/stand-ins/platform/index.js";
import { fleetTopology } from "./placement-fleet.js";

export interface PlacementSimulationOptions {
    readonly servers: readonly BackendServerDescription[];
    readonly models: readonly ModelDescription[];
    readonly demand: readonly PlacementDemand[];
    readonly storeBytesPerSecond: number;
    /** Size of a layer of any model; stand-in engines support only one size. */
    readonly layerBytes: number;
    readonly orderCredential?: string;
    readonly logger?: Logger;
}

/** Record of an order that a placement holder sent. */
export interface SentOrder {
    readonly at: number;
    readonly backendServer: string;
    readonly router: string;
    readonly order: PlacementOrder;
    /** Size of the layers to load; 0 for other orders. */
    readonly bytes: number;
    /** Time at which the order reached the engine; undefined if it hasn't reached it. */
    deliveredAt: number | undefined;
}

/** The placement components of one router. */
export interface PlacementRouter {
    readonly id: string;
    /** This router's client of the platform, whose faults can be set separately. */
    readonly platformClient: StandInPlatform;
    readonly lease: PlacementLease;
    readonly holder: PlacementHolder;
}

export class PlacementSimulation implements PlacementFleet, ConfigurationSource {
    readonly platform = new StandInPlatform();
    readonly sentOrders: SentOrder[] = [];
    readonly routers: PlacementRouter[] = [];
    /** Each loss of a model's last complete pipeline, as `MODEL at MILLISECONDS`. */
    readonly lostModels: string[] = [];
    /** Network delay of orders, in milliseconds. */
    orderDelayMilliseconds = 1;
    /** Number of further orders whose replies will be lost. */
    lostOrderReplies = 0;
    current: Configuration;
    private demands: readonly PlacementDemand[];
    private readonly engines = new Map<string, StandInEngine>();
    private readonly descriptions = new Map<string, BackendServerDescription>();
    private readonly network = new InProcessStageNetwork(fleetTopology);
    private readonly weightStore: WeightStore;
    private readonly fleetListeners = new Set<() => void>();
    private readonly configurationListeners = new Set<(configuration: Configuration) => void>();
    private readonly unloading = new Map<string, Set<string>>();
    private readonly servableModels = new Set<string>();

    constructor(private readonly options: PlacementSimulationOptions) {
        this.weightStore = new WeightStore(options.storeBytesPerSecond);
        this.demands = options.demand;
        this.current = createConfiguration(options);
        options.servers.forEach(server => this.addServer(server, []));
    }

    addServer(description: BackendServerDescription, holdings: readonly Holding[]): void {
        const engine = new StandInEngine({
            id: description.id,
            address: description.address,
            location: description,
            class: description.class,
            holdings,
            layerBytes: this.options.layerBytes,
            orderCredential: "credential",
        }, { network: this.network, weightStore: this.weightStore, random: new SeededRandom(1) });
        this.network.add(engine);
        this.engines.set(description.id, engine);
        this.descriptions.set(description.id, description);
        this.fleetListeners.forEach(listener => listener());
    }

    /** Kills a backend server and removes it from the list of backend servers; with `silently`, it remains listed. */
    kill(id: string, silently = false): void {
        this.engines.get(id)?.die();
        if (!silently) {
            this.descriptions.delete(id);
            this.fleetListeners.forEach(listener => listener());
        }
    }

    /** Restarts a backend server with a new incarnation and without holdings. */
    restart(server: BackendServerDescription): void {
        this.engines.get(server.id)?.die();
        const incarnation = (this.descriptions.get(server.id)?.incarnation ?? server.incarnation) + 1;
        this.addServer({ ...server, incarnation }, []);
    }

    engine(id: string): StandInEngine {
        return this.engines.get(id)!;
    }

    addRouter(id: string): PlacementRouter {
        const access = this.platform.createClient();
        const logger = this.options.logger ?? new SilentLogger();
        const lease = new PlacementLease(access, { router: id, address: `http://${id}` }, logger, new SilentMetrics());
        const holder = new PlacementHolder({
            lease,
            fleet: this,
            configuration: this,
            connections: { get: backendServer => this.connect(backendServer, id) },
            random: new SeededRandom(this.routers.length + 1),
            logger,
            metrics: new SilentMetrics(),
        });
        const router = { id, platformClient: access, lease, holder };
        this.routers.push(router);
        return router;
    }

    setDemand(demand: readonly PlacementDemand[]): void {
        this.demands = demand;
    }

    setModels(models: readonly ModelDescription[]): void {
        const byName = new Map(models.map(model => [model.name, model]));
        this.current = { ...this.current, version: this.current.version + 1, models: byName };
        this.configurationListeners.forEach(listener => listener(this.current));
    }

    backendServers(): readonly BackendServerDescription[] {
        return [...this.descriptions.values()];
    }

    isLeaving(): boolean {
        return false;
    }

    demand(): readonly PlacementDemand[] {
        return this.demands;
    }

    onChange(listener: (configuration: Configuration) => void): () => void {
        // This method implements both `PlacementFleet.onChange` and `ConfigurationSource.onChange`.
        const call = () => listener(this.current);
        this.fleetListeners.add(call);
        this.configurationListeners.add(listener);
        return () => {
            this.fleetListeners.delete(call);
            this.configurationListeners.delete(listener);
        };
    }

    /** Holdings of live engines, without those being unloaded. */
    usableHoldings(): { readonly server: BackendServerDescription; readonly holding: Holding; }[] {
        return [...this.descriptions.values()].flatMap(server => {
            const engine = this.engines.get(server.id)!;
            const unloading = this.unloading.get(server.id);
            return !engine.alive ? [] : engine.holdingsReport().holdings
                .filter(holding => unloading?.has(holdingKey(holding)) !== true)
                .map(holding => ({ server, holding }));
        });
    }

    hasCompletePipeline(model: ModelDescription): boolean {
        const held = this.usableHoldings().filter(({ holding }) => holding.model === model.name);
        const versions = new Set(held.map(({ holding }) => holding.modelVersion));
        return [...versions].some(version =>
            coversAllLayers(
                held.filter(({ holding }) => holding.modelVersion === version).map(({ holding }) => holding.layers),
                model.layerTotal,
            )
        );
    }

    /** Records models that have lost their last complete pipeline. */
    recordLostModels(): void {
        for (const model of this.current.models.values()) {
            if (this.hasCompletePipeline(model)) {
                this.servableModels.add(model.name);
            }
            else if (this.servableModels.delete(model.name)) {
                this.lostModels.push(`${model.name} at ${monotonicNow()}`);
            }
        }
    }

    private connect(backendServer: string, router: string): BackendServerConnection {
        const connection = new InProcessBackendServerConnection(this.engines.get(backendServer)!, {
            orderCredential: this.options.orderCredential ?? "credential",
        });
        return {
            backendServer,
            startAttempt: request => connection.startAttempt(request),
            sendOrder: order => this.sendOrder(connection, backendServer, router, order),
            readHoldings: (): Promise<HoldingsReport> => connection.readHoldings(),
            events: connection.events,
            close: () => connection.close(),
        };
    }

    private async sendOrder(
        connection: InProcessBackendServerConnection,
        backendServer: string,
        router: string,
        order: PlacementOrder,
    ): Promise<OrderReply> {
        const { action } = order;
        const bytes = action.kind === "load" ? layerCount(action.layers) * this.options.layerBytes : 0;
        const sent: SentOrder = { at: monotonicNow(), backendServer, router, order, bytes, deliveredAt: undefined };
        this.sentOrders.push(sent);
        const loseReply = this.lostOrderReplies > 0;
        this.lostOrderReplies -= loseReply ? 1 : 0;
        const transitMilliseconds = Math.min(this.orderDelayMilliseconds, order.timeoutMilliseconds - 1);
        await delay(transitMilliseconds);
        if (monotonicNow() - sent.at >= order.timeoutMilliseconds) {
            return new Promise(() => undefined);
        }
        sent.deliveredAt = monotonicNow();
        const reply = await this.deliver(connection, backendServer, order);
        return loseReply ? new Promise(() => undefined) : reply;
    }

    private async deliver(
        connection: InProcessBackendServerConnection,
        backendServer: string,
        order: PlacementOrder,
    ): Promise<OrderReply> {
        const { action } = order;
        const unloading = this.unloading.get(backendServer) ?? new Set<string>();
        this.unloading.set(backendServer, unloading);
        const key = action.kind === "unload" ? holdingKey(action) : undefined;
        try {
            const reply = connection.sendOrder(order);
            if (key !== undefined) {
                unloading.add(key);
                this.recordLostModels();
            }
            return await reply;
        }
        finally {
            unloading.delete(key ?? "");
            this.recordLostModels();
        }
    }
}

function holdingKey(
    held: { readonly model: string; readonly modelVersion: string; readonly layers: Holding["layers"]; },
): string {
    return `${held.model} ${held.modelVersion} ${held.layers.first}-${held.layers.last}`;
}

function createConfiguration(options: PlacementSimulationOptions): Configuration {
    return {
        version: 1,
        pushId: "push-1",
        parent: 0,
        author: "planner",
        acceptedAt: "2026-12-04T06:00:00Z",
        models: new Map(options.models.map(model => [model.name, model])),
        routes: new Map(),
        customers: new Map(),
        services: new Map(),
        backendServerClasses: new Map(options.servers.map(server => [server.class.name, server.class])),
        topology: fleetTopology,
        weightStore: { bytesPerSecond: options.storeBytesPerSecond },
    };
}
