/** Counters, gauges and timings. docs/METRICS.md lists every name. */

/** Dimensions of a metric. Values must come from small sets. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where metrics go; the process sends them over StatsD, tests read them back. */
export interface Metrics {
    increment(name: string, value?: number, tags?: MetricTags): void;
    gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    timing(name: string, milliseconds: number, tags?: MetricTags): void;
}

/** Drops every metric. */
export class SilentMetrics implements Metrics {
    increment(): void {}
    gauge(): void {}
    timing(): void {}
}
