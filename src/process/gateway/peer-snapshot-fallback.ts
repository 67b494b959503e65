/**
 * Fetches snapshots of the platform's store from other routers while the store does not answer this router. The store
 * may reject single routers for many seconds, while operators change the configuration and backend servers leave.
 */
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import { randomInteger, type RandomSource } from "../../common/random.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { SnapshotSource } from "../../domain/gateway/store-snapshot.js";
import type { StoreCache } from "./store-cache.js";
import type { StoreEra } from "./store-era.js";

/** A quarter of the time within which a configuration must be active; each check costs one small call to one router. */
const checkIntervalMilliseconds = 500;

export interface PeerSnapshotFallbackDependencies {
    readonly storeCache: StoreCache;
    readonly era: StoreEra;
    /** Whether the store currently answers this router. */
    storeAnswers(): boolean;
    readonly source: SnapshotSource;
    /** Addresses of the routers from which snapshots can be requested. */
    routers(): readonly SocketAddress[];
    readonly random: RandomSource;
    readonly failures: FailureReporter;
    readonly logger: Logger;
}

export class PeerSnapshotFallback implements ManagedComponent {
    readonly name = "peer snapshot fallback";
    private timer: ReturnType<typeof setInterval> | undefined;
    private requestPending = false;

    constructor(private readonly dependencies: PeerSnapshotFallbackDependencies) {}

    async start(): Promise<void> {
        const boundary = this.dependencies.failures.createBoundary(this.name);
        this.timer = setInterval(boundary.wrap(() => this.check()), checkIntervalMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    private async check(): Promise<void> {
        const router = this.dependencies.storeAnswers() || this.requestPending ? undefined : this.chooseRouter();
        if (router === undefined) {
            return;
        }
        this.requestPending = true;
        try {
            await this.requestSnapshot(router);
        }
        catch (error) {
            this.dependencies.logger.info("could not fetch a store snapshot from another router", {
                router: formatSocketAddress(router),
                error: String(error),
            });
        }
        finally {
            this.requestPending = false;
        }
    }

    private chooseRouter(): SocketAddress | undefined {
        const routers = this.dependencies.routers();
        return routers[randomInteger(this.dependencies.random, routers.length)];
    }

    private async requestSnapshot(router: SocketAddress): Promise<void> {
        const { storeCache, era, source, logger } = this.dependencies;
        const before = storeCache.position;
        const snapshot = await source.readSnapshot(router, before);
        if (snapshot === undefined || this.dependencies.storeAnswers()) {
            return;
        }
        // Treated as a read after an outage: items whose leases expired in the outage may be missing.
        era.observe(snapshot.position.era || undefined);
        storeCache.replaceAll(snapshot.items, snapshot.position, true);
        logger.info("applied a store snapshot from another router", {
            router: formatSocketAddress(router),
            revision: snapshot.position.revision,
            era: snapshot.position.era,
            before: before.revision,
        });
    }
}
