/**
 * Learns from other routers what the platform's store holds while the store does not answer this one. The store may turn
 * single routers away for many seconds while operators change the configuration and backend servers leave.
 */
import type { Managed } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import { randomInteger, type RandomSource } from "../../common/random.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { SnapshotSource } from "../../domain/gateway/store-snapshot.js";
import type { StoreImage } from "./store-image.js";

/** A quarter of the time in which a configuration must be in force; each turn costs one small call to one router. */
const reviewMilliseconds = 500;

export interface StoreRelayParts {
    readonly image: StoreImage;
    /** Whether the store answers this router at the moment. */
    storeAnswers(): boolean;
    readonly source: SnapshotSource;
    /** Other routers that may be asked. */
    routers(): readonly SocketAddress[];
    readonly random: RandomSource;
    readonly logger: Logger;
}

export class StoreRelay implements Managed {
    readonly name = "store relay";
    private timer: ReturnType<typeof setInterval> | undefined;
    private asking = false;

    constructor(private readonly parts: StoreRelayParts) {}

    async start(): Promise<void> {
        this.timer = setInterval(() => void this.review(), reviewMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    private async review(): Promise<void> {
        const router = this.parts.storeAnswers() || this.asking ? undefined : this.chooseRouter();
        if (router === undefined) {
            return;
        }
        this.asking = true;
        try {
            await this.ask(router);
        }
        catch (error) {
            this.parts.logger.info("another router did not say what it knows of the store", {
                router: formatSocketAddress(router),
                error: String(error),
            });
        }
        finally {
            this.asking = false;
        }
    }

    private chooseRouter(): SocketAddress | undefined {
        const routers = this.parts.routers();
        return routers[randomInteger(this.parts.random, routers.length)];
    }

    private async ask(router: SocketAddress): Promise<void> {
        const { image, source, logger } = this.parts;
        const before = image.revision;
        const snapshot = await source.readSnapshot(router, before);
        if (snapshot === undefined || this.parts.storeAnswers()) {
            return;
        }
        // Entries that lapsed in an outage may be missing from what the other router knows.
        image.replaceAll(snapshot.items, snapshot.storeRevision, true);
        logger.info("learnt the store's contents from another router", {
            router: formatSocketAddress(router),
            revision: snapshot.storeRevision,
            before,
        });
    }
}
