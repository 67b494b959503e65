/** Holds the active gateway configuration: the highest version that this process has received. */
import type { Logger } from "../../common/logger.js";
import { Broadcast } from "../../common/streams.js";
import type { GatewayConfiguration } from "../../domain/gateway/configuration.js";

export class ActiveConfiguration {
    private readonly broadcast = new Broadcast<GatewayConfiguration>();
    /** Emits each configuration when it becomes active. */
    readonly changes = this.broadcast.stream;
    private latest: GatewayConfiguration | undefined;
    private latestEncoded: Buffer | undefined;

    constructor(private readonly logger: Logger) {}

    /** The active configuration; undefined until the first one has been received. */
    get current(): GatewayConfiguration | undefined {
        return this.latest;
    }

    /** The active configuration as it was published. */
    get currentEncoded(): Buffer | undefined {
        return this.latestEncoded;
    }

    /**
     * Activates the configuration if its version is higher than the active one; returns whether it did. `source` names
     * the origin in the log.
     */
    applyIfNewer(configuration: GatewayConfiguration, source: string, encoded?: Buffer): boolean {
        const before = this.latest?.version;
        if (before !== undefined && configuration.version <= before) {
            return false;
        }
        this.latest = configuration;
        this.latestEncoded = encoded;
        this.logger.info("configuration activated", {
            version: configuration.version,
            before,
            routes: configuration.routes.length,
            source,
        });
        this.broadcast.publish(configuration);
        return true;
    }
}
