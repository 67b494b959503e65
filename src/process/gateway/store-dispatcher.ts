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
import type { StorePosition } from "../../domain/gateway/store-position.js";
import { MalformedConfigurationError } from "../../errors/index.js";
import type { RegistryItem } from "./distrusted-entries.js";
import { decodeProcessRecord, type ProcessRecord, type ProcessRecords } from "./process-records.js";
import type { PromptQuarantine } from "./prompt-quarantine/prompt-quarantine.js";
import type { RouterDirectory } from "./router-directory.js";
import type { ServerRegistry } from "./server-registry.js";
import type { StartupCheck } from "./startup-check.js";
import { type ReadContext, type StoreObserver } from "./store-observer.js";

/** The placement leader's key as the store holds it. */
export interface LeaderKey {
    readonly holder: string;
    readonly position: StorePosition;
}

export interface LeaderKeyObserver {
    /** Receives undefined if the key does not exist. */
    leaderKeyChanged(key: LeaderKey | undefined): void;
}

export class StoreDispatcher implements StoreObserver {
    constructor(
        private readonly layout: StoreLayout,
        private readonly startup: StartupCheck,
        private readonly registry: ServerRegistry,
        private readonly routers: RouterDirectory,
        private readonly leaderObserver: LeaderKeyObserver,
        private readonly quarantine: PromptQuarantine,
        private readonly logger: Logger,
    ) {}

    replaceAll(items: readonly StoredItem[], position: StorePosition, context: ReadContext): void {
        const entries = new Map<string, RegistryItem>();
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
                entries.set(entry.id, { entry, position: item.position });
            }
        }
        const configuration = items.find(({ key }) => key === this.layout.configurationKey);
        if (configuration !== undefined) {
            this.applyConfiguration(configuration.value, configuration.position);
        }
        const records = this.findProcessRecords(items);
        this.startup.begin(routers, records.byRouter);
        this.registry.replaceAll({ entries, position, context });
        this.routers.replaceAll(routers, records, context);
        this.leaderObserver.leaderKeyChanged(
            toLeaderKey(items.find(({ key }) => key === this.layout.placementLeaderKey)),
        );
        this.quarantine.replaceAll(items, context);
    }

    private findProcessRecords(items: readonly StoredItem[]): ProcessRecords {
        const { processKeyPrefix, fleetStartedKey } = this.layout;
        const byRouter = new Map<string, ProcessRecord>();
        for (const { key, value } of items.filter(item => item.key.startsWith(processKeyPrefix))) {
            const record = decodeProcessRecord(value);
            if (record !== undefined) {
                byRouter.set(key.slice(processKeyPrefix.length), record);
            }
        }
        return { fleetHasStarted: items.some(({ key }) => key === fleetStartedKey), byRouter };
    }

    applyChanges(changes: readonly ItemChange[]): void {
        changes.forEach(change => this.applyChange(change));
    }

    private applyChange(change: ItemChange): void {
        const { key, value, position } = change;
        const id = this.serverId(key);
        if (id !== undefined) {
            this.applyServer(id, value, position);
        }
        else if (key === this.layout.configurationKey && value !== undefined) {
            this.applyConfiguration(value, position);
        }
        else if (key === this.layout.placementLeaderKey) {
            this.leaderObserver.leaderKeyChanged(toLeaderKey(change));
        }
        else if (!this.quarantine.applyChange(change)) {
            this.applyRouter(this.routerName(key), value);
        }
    }

    private applyServer(id: string, value: Buffer | undefined, position: StorePosition): void {
        const entry = value === undefined ? undefined : this.decodeServer(id, value);
        if (entry === undefined) {
            this.registry.remove(id, position);
        }
        else {
            this.registry.put(entry, position);
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

    private applyConfiguration(value: Buffer, position: StorePosition): void {
        const key = this.layout.configurationKey;
        const configuration = this.decode(key, () => this.decodeConfiguration(value, position));
        if (configuration !== undefined) {
            this.startup.offer(configuration, "store", value);
        }
    }

    private decodeConfiguration(value: Buffer, { revision }: StorePosition): GatewayConfiguration | undefined {
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

function toLeaderKey(item: ItemChange | undefined): LeaderKey | undefined {
    return item?.value === undefined ? undefined : { holder: item.value.toString("utf8"), position: item.position };
}
