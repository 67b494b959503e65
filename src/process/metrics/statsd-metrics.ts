import { StatsD } from "hot-shots";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics, MetricTags } from "../../common/metrics.js";

export interface StatsdOptions {
    readonly host: string;
    readonly port: number;
    /** Tags on every metric, such as the router's ID. */
    readonly tags: MetricTags;
}

/** Sends metrics to a StatsD server over UDP. If the server is unreachable, metrics are lost without other effect. */
export class StatsdMetrics implements Metrics, ManagedComponent {
    readonly name = "metrics";
    private readonly client: StatsD;

    constructor(options: StatsdOptions, logger: Logger) {
        this.client = new StatsD({
            host: options.host,
            port: options.port,
            globalTags: { ...options.tags },
            errorHandler: error => logger.debug("StatsD metric dropped: send failed", { error: error.message }),
        });
    }

    async start(): Promise<void> {}

    increment(name: string, value = 1, tags: MetricTags = {}): void {
        this.client.increment(name, value, { ...tags });
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.client.gauge(name, value, { ...tags });
    }

    timing(name: string, milliseconds: number, tags: MetricTags = {}): void {
        this.client.timing(name, milliseconds, { ...tags });
    }

    stop(): Promise<void> {
        return new Promise(resolve => this.client.close(() => resolve()));
    }
}
