/** Counters, gauges and duration histograms, kept in memory and served in the Prometheus text format. */
import type { Server } from "node:http";
import { createContainedServer } from "../../common/contained-server.js";
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { Metrics, MetricTags } from "../../common/metrics.js";

/** Bucket bounds: fine around the latency targets of 200 to 500 ms, coarse up to the longest timeout of 20 s. */
const bucketBoundsMilliseconds = [5, 10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 10_000, 20_000] as const;

interface Histogram {
    /** Observations per bucket, not cumulative; those above the last bound are only in the total. */
    readonly counts: number[];
    /** Sum of the observed durations in milliseconds. */
    sum: number;
    total: number;
}

export class PrometheusMetrics implements Metrics {
    private readonly counters = new Map<string, number>();
    private readonly gauges = new Map<string, number>();
    private readonly histograms = new Map<string, { name: string; tags: MetricTags; histogram: Histogram; }>();

    increment(name: string, value = 1, tags: MetricTags = {}): void {
        const key = formatSeries(name, tags);
        this.counters.set(key, (this.counters.get(key) ?? 0) + value);
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.gauges.set(formatSeries(name, tags), value);
    }

    timing(name: string, milliseconds: number, tags: MetricTags = {}): void {
        const key = formatSeries(name, tags);
        let series = this.histograms.get(key);
        if (series === undefined) {
            const counts = new Array<number>(bucketBoundsMilliseconds.length).fill(0);
            series = { name, tags, histogram: { counts, sum: 0, total: 0 } };
            this.histograms.set(key, series);
        }
        const { histogram } = series;
        const index = bucketBoundsMilliseconds.findIndex(bound => milliseconds <= bound);
        if (index !== -1) {
            histogram.counts[index]!++;
        }
        histogram.sum += milliseconds;
        histogram.total++;
    }

    /** Renders all series in the Prometheus text format, sorted, one sample per line. */
    render(): string {
        const lines = [...this.counters, ...this.gauges].map(([series, value]) => `${series} ${value}`);
        for (const { name, tags, histogram } of this.histograms.values()) {
            lines.push(...renderHistogram(name, tags, histogram));
        }
        return `${lines.sort().join("\n")}\n`;
    }
}

/** Creates a server that answers every request with the metrics. */
export function createMetricsServer(metrics: PrometheusMetrics, failures: FailureReporter): Server {
    return createContainedServer("metrics request", failures, (_request, response) => {
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
        response.end(metrics.render());
    });
}

function renderHistogram(name: string, tags: MetricTags, histogram: Histogram): string[] {
    let cumulativeCount = 0;
    const buckets = bucketBoundsMilliseconds.map((bound, index) => {
        cumulativeCount += histogram.counts[index]!;
        return `${formatSeries(`${name}.bucket`, { ...tags, le: String(bound) })} ${cumulativeCount}`;
    });
    return [
        ...buckets,
        `${formatSeries(`${name}.bucket`, { ...tags, le: "+Inf" })} ${histogram.total}`,
        `${formatSeries(`${name}.sum`, tags)} ${Math.round(histogram.sum)}`,
        `${formatSeries(`${name}.count`, tags)} ${histogram.total}`,
    ];
}

function formatSeries(name: string, tags: MetricTags): string {
    const labels = Object.entries(tags).map(([key, value]) => `${key}="${value}"`).join(",");
    const metricName = name.replaceAll(".", "_");
    return labels === "" ? metricName : `${metricName}{${labels}}`;
}
