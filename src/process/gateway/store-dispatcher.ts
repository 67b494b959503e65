/**
 * Decodes the contents of the platform's store and passes each item on to the object that uses it: the configuration,
 * the registered backend servers and routers, the placement leader's key, and the blocked prompt parts. If a configuration
 * cannot be decoded, the previous one stays active. A backend server or router whose value cannot be decoded counts as not
 * registered.
 */
import type { Logger } from "../../common/logger.js";
import type { GatewayConfiguration } from "../../domain/gateway/configuration.js";
import type { ItemChange, StoredItem } from "../../domain/gateway/metadata-store.js";
import { parseSocketAddress, type ServerEntry, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { StoreLayout } from "../../domain/gateway/store-layout.js";
import { MalformedConfigurationError } from "../../errors/index.js";
import type { ActiveConfiguration } from "./active-configuration.js";
import type { PromptQuarantine } from "./prompt-quarantine/prompt-quarantine.js";
import { isSettledRecord, type ProcessRecords, type RouterDirectory } from "./router-directory.js";
import type { ServerRegistry } from "./server-registry.js";
import type { StoreObserver } from "./store-watcher.js";

export interface LeaderKeyObserver {
    /** Receives the value of the placement leader's key; undefined if the key does not exist. */
    leaderKeyChanged(value: Buffer | undefined): void;
}

export class StoreDispatcher implements StoreObserver {
    constructor(
        private readonly layout: StoreLayout,
        private readonly configuration: ActiveConfiguration,
        private readonly registry: ServerRegistry,
        private readonly routers: RouterDirectory,
        private readonly leaderObserver: LeaderKeyObserver,
        private readonly quarantine: PromptQuarantine,
        private readonly logger: Logger,
    ) {}

    replaceAll(items: readonly StoredItem[], storeRevision: number, afterOutage: boolean): void {
        const entries = new Map<string, { entry: ServerEntry; revision: number; }>();
        const routers = new Map<string, SocketAddress>();
        for (const item of items) {
            const router = this.routerName(item.key);
            const address = parseSocketAddress(item.value.toString("utf8"));
            if (router !== undefined && address !== undefined) {
                routers.set(router, address);
            }
            const id = this.serverId(item.key);
            const entry = id === undefined ? undefined : this.decodeServer(id, item.value);
            if (entry !== undefined) {
                entries.set(entry.id, { entry, revision: item.revision });
            }
        }
        const configuration = items.find(({ key }) => key === this.layout.configurationKey);
        if (configuration !== undefined) {
            this.applyConfiguration(configuration.value, configuration.revision);
        }
        this.registry.replaceAll({ entries, revision: storeRevision, afterOutage });
        this.routers.replaceAll(routers, this.findProcessRecords(items));
        this.leaderObserver.leaderKeyChanged(items.find(({ key }) => key === this.layout.placementLeaderKey)?.value);
        this.quarantine.replaceAll(items);
    }

    private findProcessRecords(items: readonly StoredItem[]): ProcessRecords {
        const { processKeyPrefix, fleetStartedKey } = this.layout;
        const settled = items.filter(({ key, value }) => key.startsWith(processKeyPrefix) && isSettledRecord(value))
            .map(({ key }) => key.slice(processKeyPrefix.length));
        return { fleetHasStarted: items.some(({ key }) => key === fleetStartedKey), settled: new Set(settled) };
    }

    applyChanges(changes: readonly ItemChange[]): void {
        changes.forEach(change => this.applyChange(change));
    }

    private applyChange(change: ItemChange): void {
        const { key, value, revision } = change;
        const id = this.serverId(key);
        if (id !== undefined) {
            this.applyServer(id, value, revision);
        }
        else if (key === this.layout.configurationKey && value !== undefined) {
            this.applyConfiguration(value, revision);
        }
        else if (key === this.layout.placementLeaderKey) {
            this.leaderObserver.leaderKeyChanged(value);
        }
        else if (!this.quarantine.applyChange(change)) {
            this.applyRouter(this.routerName(key), value);
        }
    }

    private applyServer(id: string, value: Buffer | undefined, revision: number): void {
        const entry = value === undefined ? undefined : this.decodeServer(id, value);
        if (entry === undefined) {
            this.registry.remove(id, revision);
        }
        else {
            this.registry.put(entry, revision);
        }
    }

    private decodeServer(id: string, value: Buffer): ServerEntry | undefined {
        const entry = this.decode(`${this.layout.serverKeyPrefix}${id}`, () => this.layout.decodeServer(id, value));
        if (entry === undefined) {
            this.logger.warn("registry entry cannot be decoded; backend server counts as not registered", {
                id,
                bytes: value.length,
            });
        }
        return entry;
    }

    private applyConfiguration(value: Buffer, revision: number): void {
        const key = this.layout.configurationKey;
        const configuration = this.decode(key, () => this.decodeConfiguration(value, revision));
        if (configuration !== undefined) {
            this.configuration.applyIfNewer(configuration, "store");
        }
    }

    private decodeConfiguration(value: Buffer, revision: number): GatewayConfiguration | undefined {
        try {
            return this.layout.decodeConfiguration(value);
        }
        catch (error) {
            if (!(error instanceof MalformedConfigurationError)) {
                throw error;
            }
            this.logger.error("configuration cannot be decoded; the previous one stays active", {
                revision,
                error: error.message,
            });
            return undefined;
        }
    }

    /** An error that the decoder does not announce concerns this item alone: the items around it still apply. */
    private decode<Value>(key: string, decodeItem: () => Value | undefined): Value | undefined {
        try {
            return decodeItem();
        }
        catch (error) {
            this.logger.error("decoder failed unexpectedly; the item is passed over", {
                key,
                error: String((error as Error | undefined)?.stack),
            });
            return undefined;
        }
    }

    private applyRouter(name: string | undefined, value: Buffer | undefined): void {
        const address = parseSocketAddress(value?.toString("utf8") ?? "");
        if (name !== undefined && address !== undefined) {
            this.routers.put(name, address);
        }
        else if (name !== undefined) {
            this.routers.remove(name);
        }
    }

    private routerName(key: string): string | undefined {
        const { routerKeyPrefix } = this.layout;
        return key.startsWith(routerKeyPrefix) ? key.slice(routerKeyPrefix.length) : undefined;
    }

    private serverId(key: string): string | undefined {
        const { serverKeyPrefix } = this.layout;
        return key.startsWith(serverKeyPrefix) ? key.slice(serverKeyPrefix.length) : undefined;
    }
}
