/** Interface for counters, gauges and timings. docs/METRICS.md lists every metric. */

/** Tags of a metric. Each tag must have few distinct values, as every combination is a separate time series. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives metrics. The process sends them over StatsD; tests use an implementation that records them. */
export interface Metrics {
    increment(name: string, value?: number, tags?: MetricTags): void;
    gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    timing(name: string, milliseconds: number, tags?: MetricTags): void;
}

/** Discards every metric. */
export class SilentMetrics implements Metrics {
    increment(): void {}
    gauge(): void {}
    timing(): void {}
}
