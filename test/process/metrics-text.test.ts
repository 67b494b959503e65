import { expect, test } from "@jest/globals";
import { PrometheusMetrics } from "../../src/process/metrics/text-metrics.js";

test("renders counters, gauges and histograms in the Prometheus text format", () => {
    const metrics = new PrometheusMetrics();
    metrics.increment("a.requests", 1, { status: "200" });
    metrics.increment("a.requests", 2, { status: "200" });
    metrics.gauge("a.servers", 3);
    metrics.timing("a.milliseconds", 120);
    metrics.timing("a.milliseconds", 60_000);
    const lines = metrics.render().split("\n");
    expect(lines).toEqual(expect.arrayContaining([
        'a_requests{status="200"} 3',
        "a_servers 3",
        'a_milliseconds_bucket{le="100"} 0',
        'a_milliseconds_bucket{le="150"} 1',
        'a_milliseconds_bucket{le="+Inf"} 2',
        "a_milliseconds_sum 60120",
        "a_milliseconds_count 2",
    ]));
});
