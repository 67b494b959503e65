/**
 * The outside world of the demo and of end-to-end tests on loopback: a platform, backend servers of every class in
 * every availability zone that together hold every model of a configuration, and the plain services.
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
    /** Backend servers in all; at least one of each part of each model in each availability zone. */
    readonly backendServerTotal?: number;
    /** Speeds the engines up, so that tests do not wait; 1 for the classes' own speed. */
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
        this.backendServers.forEach(each => each.server.stop());
        this.services.forEach(service => service.stop());
        await this.network.close();
        await this.platformServer.stop();
    }

    /** Adds a router to the platform's list. */
    addRouter(entry: VmEntry): void {
        this.routers.push(entry);
        this.publishVms();
    }

    /** Takes a router off the platform's list. */
    removeRouter(id: string): void {
        const index = this.routers.findIndex(entry => entry.id === id);
        this.routers.splice(index, index < 0 ? 0 : 1);
        this.publishVms();
    }

    /** Writes the list of VMs anew; leaving backend servers are marked. */
    publishVms(leaving: ReadonlySet<string> = new Set()): void {
        const backendServers = this.backendServers.map(each =>
            this.vmEntry(each.server.engine.id, "backend-server", each.server.address, each.location, each.className)
        );
        const [serviceLocation] = this.options.locations;
        const services = [...this.services].map(([name, service]) =>
            this.vmEntry(`${name}-1`, "service", service.address, serviceLocation!, name)
        );
        this.platform.setVms([...this.routers, ...backendServers, ...services].map(entry => ({
            ...entry,
            state: leaving.has(entry.id) ? "leaving" : entry.state,
        })));
    }

    private vmEntry(
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
        const slots = this.slots();
        const total = Math.max(slots.length, this.options.backendServerTotal ?? slots.length);
        for (let index = 0; index < total; index++) {
            const slot = slots[index % slots.length]!;
            const server = this.createServer(slot, Math.floor(index / slots.length), weightStore, random);
            await server.start();
            this.backendServers.push({ server, location: slot.location, className: slot.part.class.name });
        }
    }

    /** Every part of every model in every availability zone. */
    private slots(): FleetSlot[] {
        const { configuration, locations } = this.options;
        const classes = [...configuration.backendServerClasses.values()];
        return locations.flatMap(location =>
            [...configuration.models.values()].flatMap(model =>
                splitModel(model, classes).map(part => ({ location, model, part }))
            )
        );
    }

    private createServer(
        { location, model, part }: FleetSlot,
        copy: number,
        weightStore: WeightStore,
        random: SeededRandom,
    ): StandInBackendServer {
        const suffix = copy === 0 ? "" : `-${copy + 1}`;
        return new StandInBackendServer({
            id: `${location.availabilityZone}-${model.name}-${part.layers.first}${suffix}`,
            location,
            class: this.accelerate(part.class),
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

    private accelerate(backendServerClass: BackendServerClass): BackendServerClass {
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

/** Where a backend server of the fleet stands, and what it holds. */
interface FleetSlot {
    readonly location: Location;
    readonly model: ModelDescription;
    readonly part: ModelPart;
}

interface ModelPart {
    readonly layers: LayerRange;
    readonly class: BackendServerClass;
}

/** Splits a model over one server of each class, in proportion to their speed and within their memory. */
export function splitModel(model: ModelDescription, classes: readonly BackendServerClass[]): ModelPart[] {
    const capacities = classes.map(each => Math.floor(each.memoryBytes / model.layerBytes));
    const speedTotal = classes.reduce((total, each) => total + each.layerTokensPerSecond, 0);
    const parts: ModelPart[] = [];
    let next = 0;
    classes.forEach((each, index) => {
        const capacityAfter = capacities.slice(index + 1).reduce((total, capacity) => total + capacity, 0);
        const fair = Math.round((model.layerTotal * each.layerTokensPerSecond) / speedTotal);
        const least = Math.max(1, model.layerTotal - next - capacityAfter);
        const count = Math.min(capacities[index]!, Math.max(least, fair), model.layerTotal - next);
        if (count > 0) {
            parts.push({ layers: { first: next, last: next + count - 1 }, class: each });
            next += count;
        }
    });
    return parts;
}
