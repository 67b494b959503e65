/**
 * Stand-ins on loopback for the demo and the end-to-end tests: a platform, the plain services of a configuration, and
 * backend servers that together hold every model of the configuration in each availability zone.
 */
import type { ManagedComponent } from "../../common/life-cycle.js";
import { SeededRandom } from "../../common/random.js";
import type { BackendServerClass } from "../../domain/backend-server.js";
import type { Configuration } from "../../domain/configuration.js";
import type { LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import type { VmEntry } from "../../domain/platform.js";
import type { Location } from "../../domain/topology.js";
import { HttpStageNetwork, StandInBackendServer, WeightStore } from "../backend-server/index.js";
import { PlatformServer, StandInPlatform } from "../platform/index.js";
import { StandInService } from "../service/index.js";

const firstIncarnation = 1;

export interface StandInFleetOptions {
    readonly configuration: Configuration;
    readonly locations: readonly Location[];
    readonly seed: number;
    /** Total number of backend servers; raised to one per model part and availability zone if lower. */
    readonly backendServerTotal?: number;
    /** Factor on the throughput of the engines' classes, to shorten tests; 1 if absent. */
    readonly speedFactor?: number;
}

/** One running backend server of the fleet. */
export interface FleetBackendServer {
    readonly server: StandInBackendServer;
    readonly location: Location;
    readonly className: string;
}

export class StandInFleet implements ManagedComponent {
    readonly name = "stand-ins";
    readonly platform = new StandInPlatform();
    readonly platformServer = new PlatformServer(this.platform);
    readonly backendServers: FleetBackendServer[] = [];
    readonly services = new Map<string, StandInService>();
    private readonly routers: VmEntry[] = [];
    private readonly network = new HttpStageNetwork();

    constructor(private readonly options: StandInFleetOptions) {}

    async start(): Promise<void> {
        await this.platformServer.start();
        await this.startBackendServers();
        await this.startServices();
        this.publishVms();
    }

    async stop(): Promise<void> {
        this.backendServers.forEach(backendServer => backendServer.server.stop());
        this.services.forEach(service => service.stop());
        await this.network.close();
        await this.platformServer.stop();
    }

    /** Adds a router to the platform's list. */
    addRouter(entry: VmEntry): void {
        this.routers.push(entry);
        this.publishVms();
    }

    /** Removes a router from the platform's list. */
    removeRouter(id: string): void {
        const index = this.routers.findIndex(entry => entry.id === id);
        this.routers.splice(index, index < 0 ? 0 : 1);
        this.publishVms();
    }

    /** Replaces the platform's VM list; VMs whose IDs are in `leaving` get the state "leaving". */
    publishVms(leaving: ReadonlySet<string> = new Set()): void {
        const backendServers = this.backendServers.map(backendServer =>
            this.createVmEntry(
                backendServer.server.engine.id,
                "backend-server",
                backendServer.server.address,
                backendServer.location,
                backendServer.className,
            )
        );
        const [serviceLocation] = this.options.locations;
        const services = [...this.services].map(([name, service]) =>
            this.createVmEntry(`${name}-1`, "service", service.address, serviceLocation!, name)
        );
        this.platform.setVms([...this.routers, ...backendServers, ...services].map(entry => ({
            ...entry,
            state: leaving.has(entry.id) ? "leaving" : entry.state,
        })));
    }

    private createVmEntry(
        id: string,
        kind: VmEntry["kind"],
        address: string,
        location: Location,
        className: string,
    ): VmEntry {
        return { id, kind, address, ...location, className, state: "live", incarnation: firstIncarnation };
    }

    private async startBackendServers(): Promise<void> {
        const weightStore = new WeightStore(this.options.configuration.weightStore.bytesPerSecond);
        const random = new SeededRandom(this.options.seed);
        const serverAssignments = this.createServerAssignments();
        const total = Math.max(serverAssignments.length, this.options.backendServerTotal ?? serverAssignments.length);
        for (let index = 0; index < total; index++) {
            const assignment = serverAssignments[index % serverAssignments.length]!;
            const server = this.createServer(
                assignment,
                Math.floor(index / serverAssignments.length),
                weightStore,
                random,
            );
            await server.start();
            this.backendServers.push({ server, location: assignment.location, className: assignment.part.class.name });
        }
    }

    /** One assignment for each part of each model in each availability zone. */
    private createServerAssignments(): ServerAssignment[] {
        const { configuration, locations } = this.options;
        const classes = [...configuration.backendServerClasses.values()];
        return locations.flatMap(location =>
            [...configuration.models.values()].flatMap(model =>
                splitModel(model, classes).map(part => ({ location, model, part }))
            )
        );
    }

    private createServer(
        { location, model, part }: ServerAssignment,
        replica: number,
        weightStore: WeightStore,
        random: SeededRandom,
    ): StandInBackendServer {
        const suffix = replica === 0 ? "" : `-${replica + 1}`;
        return new StandInBackendServer({
            id: `${location.availabilityZone}-${model.name}-${part.layers.first}${suffix}`,
            location,
            class: this.applySpeedFactor(part.class),
            holdings: [{
                model: model.name,
                modelVersion: model.version,
                layers: part.layers,
                adapters: model.adapters,
            }],
            layerBytes: model.layerBytes,
            activationBytes: model.activationBytes,
            cacheBytesPerTokenLayer: model.cacheBytesPerTokenLayer,
        }, { network: this.network, weightStore, random });
    }

    private applySpeedFactor(backendServerClass: BackendServerClass): BackendServerClass {
        const factor = this.options.speedFactor ?? 1;
        return { ...backendServerClass, layerTokensPerSecond: backendServerClass.layerTokensPerSecond * factor };
    }

    private async startServices(): Promise<void> {
        for (const name of this.options.configuration.services.keys()) {
            const service = new StandInService();
            await service.start();
            this.services.set(name, service);
        }
    }
}

/** Location and model part of one backend server. */
interface ServerAssignment {
    readonly location: Location;
    readonly model: ModelDescription;
    readonly part: ModelPart;
}

interface ModelPart {
    readonly layers: LayerRange;
    readonly class: BackendServerClass;
}

/** Splits a model over one server of each class, in proportion to throughput and within each server's memory. */
export function splitModel(model: ModelDescription, classes: readonly BackendServerClass[]): ModelPart[] {
    const capacities = classes.map(serverClass => Math.floor(serverClass.memoryBytes / model.layerBytes));
    const throughputTotal = classes.reduce((total, serverClass) => total + serverClass.layerTokensPerSecond, 0);
    const parts: ModelPart[] = [];
    let nextLayer = 0;
    classes.forEach((serverClass, index) => {
        const laterCapacity = capacities.slice(index + 1).reduce((total, capacity) => total + capacity, 0);
        const proportionalCount = Math.round((model.layerTotal * serverClass.layerTokensPerSecond) / throughputTotal);
        const minimumCount = Math.max(1, model.layerTotal - nextLayer - laterCapacity);
        const count = Math.min(
            capacities[index]!,
            Math.max(minimumCount, proportionalCount),
            model.layerTotal - nextLayer,
        );
        if (count > 0) {
            parts.push({ layers: { first: nextLayer, last: nextLayer + count - 1 }, class: serverClass });
            nextLayer += count;
        }
    });
    return parts;
}
