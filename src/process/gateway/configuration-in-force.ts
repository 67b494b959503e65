/** The newest configuration that this process has seen. It is replaced by higher versions only. */
import type { Logger } from "../../common/logger.js";
import { Broadcast } from "../../common/streams.js";
import type { GatewayConfiguration } from "../../domain/gateway/configuration.js";

export class ConfigurationInForce {
    private readonly versions = new Broadcast<GatewayConfiguration>();
    /** Each version that comes into force. */
    readonly changes = this.versions.stream;
    private newest: GatewayConfiguration | undefined;

    constructor(private readonly logger: Logger) {}

    /** Undefined until the first one is known. */
    get current(): GatewayConfiguration | undefined {
        return this.newest;
    }

    /** Whether the configuration was newer than the one in force. */
    offer(configuration: GatewayConfiguration, source: string): boolean {
        const before = this.newest?.version;
        if (before !== undefined && configuration.version <= before) {
            return false;
        }
        this.newest = configuration;
        this.logger.info("configuration in force", {
            version: configuration.version,
            before,
            routes: configuration.routes.length,
            source,
        });
        this.versions.publish(configuration);
        return true;
    }
}
