/** Metrics kept in memory and served as text: counters, gauges, and histograms of durations. */
import { createServer, type Server } from "node:http";
import type { Metrics, MetricTags } from "../../common/metrics.js";

/** Upper bounds in milliseconds: fine around the targets of 200 to 500 ms, coarse up to the longest time limit of 20 s. */
const bucketBounds = [5, 10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 10_000, 20_000] as const;

interface Histogram {
    readonly counts: number[];
    sum: number;
    total: number;
}

export class TextMetrics implements Metrics {
    private readonly counters = new Map<string, number>();
    private readonly gauges = new Map<string, number>();
    private readonly histograms = new Map<string, { name: string; tags: MetricTags; histogram: Histogram; }>();

    increment(name: string, value = 1, tags: MetricTags = {}): void {
        const key = seriesOf(name, tags);
        this.counters.set(key, (this.counters.get(key) ?? 0) + value);
    }

    gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.gauges.set(seriesOf(name, tags), value);
    }

    timing(name: string, milliseconds: number, tags: MetricTags = {}): void {
        const key = seriesOf(name, tags);
        let series = this.histograms.get(key);
        if (series === undefined) {
            const counts = new Array<number>(bucketBounds.length).fill(0);
            series = { name, tags, histogram: { counts, sum: 0, total: 0 } };
            this.histograms.set(key, series);
        }
        const { histogram } = series;
        const index = bucketBounds.findIndex(bound => milliseconds <= bound);
        if (index !== -1) {
            histogram.counts[index]!++;
        }
        histogram.sum += milliseconds;
        histogram.total++;
    }

    /** One series a line, in the text form that common collectors read. */
    render(): string {
        const lines = [...this.counters, ...this.gauges].map(([series, value]) => `${series} ${value}`);
        for (const { name, tags, histogram } of this.histograms.values()) {
            lines.push(...renderHistogram(name, tags, histogram));
        }
        return `${lines.sort().join("\n")}\n`;
    }
}

/** Serves the metrics at every path. */
export function createMetricsServer(metrics: TextMetrics): Server {
    return createServer((_request, response) => {
        response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
        response.end(metrics.render());
    });
}

function renderHistogram(name: string, tags: MetricTags, histogram: Histogram): string[] {
    let below = 0;
    const buckets = bucketBounds.map((bound, index) => {
        below += histogram.counts[index]!;
        return `${seriesOf(`${name}.bucket`, { ...tags, le: String(bound) })} ${below}`;
    });
    return [
        ...buckets,
        `${seriesOf(`${name}.bucket`, { ...tags, le: "+Inf" })} ${histogram.total}`,
        `${seriesOf(`${name}.sum`, tags)} ${Math.round(histogram.sum)}`,
        `${seriesOf(`${name}.count`, tags)} ${histogram.total}`,
    ];
}

function seriesOf(name: string, tags: MetricTags): string {
    const labels = Object.entries(tags).map(([key, value]) => `${key}="${value}"`).join(",");
    const plain = name.replaceAll(".", "_");
    return labels === "" ? plain : `${plain}{${labels}}`;
}
