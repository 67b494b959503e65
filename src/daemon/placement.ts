/** Composes the components that place layers on backend servers while this router holds the placement lease. */
import { randomUUID } from "node:crypto";
import type { ManagedComponent } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { RandomSource } from "../common/random.js";
import type { BackendServerConnections } from "../domain/backend-connection.js";
import type { BackendServerDescription } from "../domain/backend-server.js";
import {
    type Configuration,
    type ConfigurationSource,
    type Customer,
    isCustomerAllowed,
} from "../domain/configuration.js";
import type { Fleet } from "../domain/fleet.js";
import type { KeyValueService } from "../domain/platform.js";
import type { BackendServerRegistry } from "../process/backend-servers/backend-server-registry.js";
import { BackendServerState } from "../process/backend-servers/types.js";
import { type PlacementFleet, PlacementHolder } from "../process/placement/placement-holder.js";
import { PlacementLease } from "../process/placement/placement-lease.js";
import type { PlacementDemand } from "../process/placement/types.js";

const pollIntervalMilliseconds = 1_000;
/** Minimum demand that is planned for each customer, so that every model keeps a pipeline even without requests. */
const minimumTokensPerSecond = 1;

/** Provides placement with the backend servers of the registry and the demand that all routers see. */
class RegistryPlacementFleet implements PlacementFleet, ManagedComponent {
    readonly name = "placement fleet";
    private readonly listeners = new Set<() => void>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private fleetSignature = "";

    constructor(
        private readonly registry: BackendServerRegistry,
        private readonly fleet: Fleet,
        private readonly configurations: ConfigurationSource,
    ) {}

    async start(): Promise<void> {
        this.fleetSignature = this.computeFleetSignature();
        this.timer = setInterval(() => this.notifyIfChanged(), pollIntervalMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    backendServers(): readonly BackendServerDescription[] {
        return this.registry.list()
            .filter(record => this.registry.state(record.id) !== BackendServerState.unreachable)
            .map(record => record.description);
    }

    isLeaving(backendServer: string): boolean {
        return this.registry.state(backendServer) === BackendServerState.leaving;
    }

    demand(): readonly PlacementDemand[] {
        const configuration = this.configurations.current;
        return [...configuration.customers.values()].flatMap(customer => this.demandOf(configuration, customer));
    }

    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Demand of a customer, divided evenly among the routes that the customer may use. */
    private demandOf(configuration: Configuration, customer: Customer): PlacementDemand[] {
        const routes = [...configuration.routes.values()].filter(route => isCustomerAllowed(route.customers, customer));
        const tokensPerSecond = Math.max(minimumTokensPerSecond, this.fleet.fleetDemand(customer.name)) / routes.length;
        return routes.map(({ model, adapter }) => ({ model, adapter, customer: customer.name, tokensPerSecond }));
    }

    private notifyIfChanged(): void {
        const signature = this.computeFleetSignature();
        if (signature !== this.fleetSignature) {
            this.fleetSignature = signature;
            this.listeners.forEach(listener => listener());
        }
    }

    /** Changes whenever a backend server is added, removed or restarted, or changes its state. */
    private computeFleetSignature(): string {
        return this.registry.list()
            .map(({ id, description }) => `${id}/${description.incarnation}/${this.registry.state(id) ?? ""}`)
            .sort()
            .join(" ");
    }
}

export interface PlacementComponentsOptions {
    readonly keyValueService: KeyValueService;
    readonly fleet: Fleet;
    /** Base URL of this router's operator interface, where operator commands reach the lease holder. */
    readonly operatorsAddress: string;
    readonly registry: BackendServerRegistry;
    readonly configurations: ConfigurationSource;
    readonly connections: BackendServerConnections;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class PlacementComponents {
    readonly holder: PlacementHolder;
    readonly placementFleet: ManagedComponent;

    constructor(options: PlacementComponentsOptions) {
        const { fleet, configurations, connections, random, metrics } = options;
        const logger = options.logger.withLabel("placement");
        const placementFleet = new RegistryPlacementFleet(options.registry, fleet, configurations);
        // Each process is a separate holder of the lease: a restarted router must not be taken for its predecessor of
        // the same name.
        const lease = new PlacementLease(
            options.keyValueService,
            { router: `${fleet.self.id}/${randomUUID()}`, address: options.operatorsAddress },
            logger,
            metrics,
        );
        this.placementFleet = placementFleet;
        this.holder = new PlacementHolder({
            lease,
            fleet: placementFleet,
            configuration: configurations,
            connections,
            random,
            logger,
            metrics,
        });
    }
}
