/**
 * Runs stand-in engines, and the production components with which routers choose pipelines, in one process on a fake
 * clock.
 */
import type { Stream } from "most";
import type { Logger } from "../../src/common/logger.js";
import { SilentLogger } from "../../src/common/logger.js";
import { type Metrics, SilentMetrics } from "../../src/common/metrics.js";
import { SeededRandom } from "../../src/common/random.js";
import { createStream } from "../../src/common/streams.js";
import type { BackendServerConnection } from "../../src/domain/backend-connection.js";
import type { BackendServerClass } from "../../src/domain/backend-server.js";
import type { Configuration } from "../../src/domain/configuration.js";
import type { BackendServerEvent } from "../../src/domain/engine-protocol.js";
import type { BackendServerNotice, Fleet, RouterMember } from "../../src/domain/fleet.js";
import type { LayerRange } from "../../src/domain/layers.js";
import type { ModelDescription } from "../../src/domain/model.js";
import type { VmEntry } from "../../src/domain/platform.js";
import type { Location, Topology } from "../../src/domain/topology.js";
import { ConnectionFailedError, ConnectionFailure } from "../../src/errors/index.js";
import { BackendServerRegistry } from "../../src/process/backend-servers/backend-server-registry.js";
import { ExactInFlightCounter } from "../../src/process/backend-servers/exact-in-flight-counter.js";
import { CostPipelineChooser } from "../../src/request/pipeline-choice/cost-pipeline-chooser.js";
import {
    InProcessBackendServerConnection,
    InProcessStageNetwork,
    StandInEngine,
    WeightStore,
} from "../../src/stand-ins/backend-server/index.js";
import { PipelineGraphs } from "../../src/version/pipeline-graph/pipeline-graphs.js";
import { SharedLinkNetwork } from "./shared-link-network.js";

/** A backend server of the simulation, which runs one stand-in engine. */
export interface SimulatedServer {
    readonly id: string;
    readonly location: Location;
    readonly class: BackendServerClass;
    readonly layers: LayerRange;
}

/** A router's view of the simulated fleet; publishes notices to all other routers directly. */
class InProcessFleet implements Fleet {
    private readonly listeners = new Set<(notice: BackendServerNotice) => void>();
    readonly self: RouterMember;

    constructor(id: string, location: Location, private readonly fleets: InProcessFleet[]) {
        this.self = {
            id,
            address: `in-process:${id}`,
            location,
            incarnation: 1,
            state: "alive",
            configurationVersion: 1,
        };
        fleets.push(this);
    }

    members(): readonly RouterMember[] {
        return this.fleets.map(fleet => fleet.self);
    }

    publishNotice(notice: BackendServerNotice): void {
        for (const fleet of this.fleets.filter(other => other !== this)) {
            fleet.listeners.forEach(listener => listener(notice));
        }
    }

    onNotice(listener: (notice: BackendServerNotice) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    reportDemand(): void {}
    fleetDemand(): number {
        return 0;
    }
}

/** A connection to an engine. If the engine is dead, its event stream fails as on a refused connection. */
class EngineConnection extends InProcessBackendServerConnection {
    constructor(private readonly targetEngine: StandInEngine, latencyMilliseconds: number) {
        super(targetEngine, { latencyMilliseconds });
    }

    override get events(): Stream<BackendServerEvent> {
        const refused = new ConnectionFailedError(this.backendServer, ConnectionFailure.refused, false);
        return this.targetEngine.alive
            ? super.events
            : createStream<BackendServerEvent>(emitter => {
                const timer = setTimeout(() => emitter.fail(refused), 0);
                return () => clearTimeout(timer);
            });
    }
}

/** The components of a router that are needed to choose a pipeline. */
export interface SimulatedRouter {
    readonly id: string;
    readonly location: Location;
    readonly registry: BackendServerRegistry;
    readonly graphs: PipelineGraphs;
    readonly inFlightCounter: ExactInFlightCounter;
    readonly chooser: CostPipelineChooser;
    readonly connections: { get(id: string): BackendServerConnection; };
    readonly random: SeededRandom;
}

export class EngineSimulation {
    readonly engines = new Map<string, StandInEngine>();
    readonly routers: SimulatedRouter[] = [];
    private readonly network: InProcessStageNetwork;
    private readonly sharedLinkNetwork: SharedLinkNetwork;
    private readonly fleets: InProcessFleet[] = [];
    private readonly entries: VmEntry[] = [];
    /** For each router, its connections by ID of the backend server. */
    private readonly connections: Map<string, InProcessBackendServerConnection>[] = [];
    private readonly logger: Logger = new SilentLogger();
    private readonly metrics: Metrics = new SilentMetrics();

    constructor(
        readonly configuration: Configuration,
        readonly model: ModelDescription,
        topology: Topology,
        private readonly routerLatencyMilliseconds: (from: Location, to: Location) => number,
        servers: readonly SimulatedServer[],
    ) {
        this.network = new InProcessStageNetwork(topology);
        this.sharedLinkNetwork = new SharedLinkNetwork(this.network, topology);
        const weightStore = new WeightStore(1e9);
        servers.forEach((server, index) => this.addEngine(server, weightStore, index));
    }

    private addEngine(server: SimulatedServer, weightStore: WeightStore, seed: number): void {
        const { id, location, layers } = server;
        const { name, version, activationBytes, cacheBytesPerTokenLayer } = this.model;
        const address = `in-process:${id}`;
        const engine = new StandInEngine(
            {
                id,
                address,
                location,
                class: server.class,
                holdings: [{ model: name, modelVersion: version, layers, adapters: [] }],
                activationBytes,
                cacheBytesPerTokenLayer,
                maximumAttempts: 100_000,
            },
            { network: this.sharedLinkNetwork, weightStore, random: new SeededRandom(seed + 1) },
        );
        this.network.add(engine);
        this.sharedLinkNetwork.add(engine);
        this.engines.set(id, engine);
        this.entries.push({
            id,
            kind: "backend-server",
            address,
            ...location,
            className: server.class.name,
            state: "live",
            incarnation: 1,
        });
        engine.start();
    }

    async addRouter(id: string, location: Location, seed: number): Promise<SimulatedRouter> {
        const fleet = new InProcessFleet(id, location, this.fleets);
        const random = new SeededRandom(seed);
        const connections = this.connectionsFrom(location);
        const registry = new BackendServerRegistry({
            vmList: { list: async () => this.entries },
            connections,
            fleet,
            configuration: { current: this.configuration, onChange: () => () => undefined },
            logger: this.logger,
            metrics: this.metrics,
            random,
        });
        const graphs = new PipelineGraphs(this.configuration, registry);
        const inFlightCounter = new ExactInFlightCounter(server => registry.get(server));
        const chooser = new CostPipelineChooser({ location, graphs, servers: registry, random, logger: this.logger });
        await registry.start();
        const router = { id, location, registry, graphs, inFlightCounter, chooser, connections, random };
        this.routers.push(router);
        return router;
    }

    /** Freezes all routers' open connections to the engine, permanently. */
    freezeConnections(id: string): void {
        this.connections.forEach(connections => connections.get(id)?.freeze());
    }

    /** Stops the routers and engines; timers that are still pending have no effect. */
    async stop(): Promise<void> {
        await Promise.all(this.routers.map(router => router.registry.stop()));
        for (const engine of this.engines.values()) {
            engine.stop();
        }
    }

    private connectionsFrom(location: Location) {
        const connectionsByServer = new Map<string, InProcessBackendServerConnection>();
        this.connections.push(connectionsByServer);
        return {
            get: (id: string): BackendServerConnection => {
                let connection = connectionsByServer.get(id);
                if (connection === undefined) {
                    const engine = this.engines.get(id)!;
                    const latencyMilliseconds = this.routerLatencyMilliseconds(location, engine.location);
                    connection = new EngineConnection(engine, latencyMilliseconds);
                    connectionsByServer.set(id, connection);
                }
                return connection;
            },
        };
    }
}
