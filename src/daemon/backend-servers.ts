/** Composes the components that track backend servers and connect to them. */
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { RandomSource } from "../common/random.js";
import {
    type BackendServerConnectionSettings,
    defaultBackendServerConnectionSettings,
    HttpBackendServerConnections,
} from "../connection/backend-server/index.js";
import type { ConfigurationSource } from "../domain/configuration.js";
import type { Fleet } from "../domain/fleet.js";
import { formatLayerRange } from "../domain/layers.js";
import type { VmList } from "../domain/platform.js";
import { BackendServerRegistry } from "../process/backend-servers/backend-server-registry.js";
import { ExactInFlightCounter } from "../process/backend-servers/exact-in-flight-counter.js";
import type { BackendServerStatus } from "../process/operator/status.js";
import { OutlierEjection } from "../process/outlier-ejection/outlier-ejection.js";
import type { BackendServerHealth } from "../process/outlier-ejection/types.js";
import { ServiceDirectory } from "../process/service-directory/service-directory.js";
import type { RouterSettings } from "../process/settings/schema.js";
import { RegistryReportingHealth } from "./registry-reporting-health.js";

export interface BackendServerComponentsOptions {
    readonly settings: RouterSettings;
    readonly orderCredential: string | undefined;
    readonly vmList: VmList;
    readonly fleet: Fleet;
    readonly configurations: ConfigurationSource;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class BackendServerComponents {
    readonly connections: HttpBackendServerConnections;
    readonly registry: BackendServerRegistry;
    readonly services = new ServiceDirectory();
    /** Receives the outcomes of requests to backend servers. */
    readonly health: BackendServerHealth;
    readonly inFlightCounter: ExactInFlightCounter;

    constructor(options: BackendServerComponentsOptions) {
        const logger = options.logger.withLabel("backend-servers");
        this.connections = new HttpBackendServerConnections({
            settings: createConnectionSettings(options.settings, options.orderCredential),
            logger,
            metrics: options.metrics,
            random: options.random,
        });
        this.registry = new BackendServerRegistry({
            vmList: options.vmList,
            connections: this.connections,
            fleet: options.fleet,
            configuration: options.configurations,
            logger,
            metrics: options.metrics,
            random: options.random,
            ejected: () => this.health.ejected(),
            onList: entries => this.services.applyList(entries),
        });
        const ejection = new OutlierEjection(
            { poolOf: id => this.substitutesFor(id) },
            id => this.registry.reportDraining(id),
            logger,
            options.metrics,
        );
        this.health = new RegistryReportingHealth(ejection, this.registry);
        this.inFlightCounter = new ExactInFlightCounter(id => this.registry.get(id));
    }

    /** Status of the backend servers as `pomelostall status` shows it. */
    status(): BackendServerStatus[] {
        return this.registry.list().map(record => ({
            id: record.id,
            region: record.description.region,
            availabilityZone: record.description.availabilityZone,
            className: record.description.class.name,
            state: this.registry.state(record.id) ?? "unknown",
            holdings: (record.holdings ?? []).map(holding => `${holding.model} ${formatLayerRange(holding.layers)}`),
            inFlight: record.ownAttempts,
        }));
    }

    /**
     * IDs of the VMs that can replace the given VM: VMs of the same plain service, or else backend servers that hold at
     * least one of the same models. Includes the VM itself.
     */
    private substitutesFor(id: string): readonly string[] {
        const serviceVms = this.services.poolOf(id);
        if (serviceVms !== undefined) {
            return serviceVms;
        }
        const models = new Set(this.registry.get(id)?.holdings?.map(holding => holding.model));
        return this.registry.list()
            .filter(record => record.holdings?.some(holding => models.has(holding.model)) === true)
            .map(record => record.id);
    }
}

function createConnectionSettings(
    settings: RouterSettings,
    orderCredential: string | undefined,
): BackendServerConnectionSettings {
    return {
        ...defaultBackendServerConnectionSettings,
        silenceMilliseconds: settings.backendServers.silenceMilliseconds,
        connectTimeoutMilliseconds: settings.backendServers.connectTimeoutMilliseconds,
        orderCredential,
    };
}
