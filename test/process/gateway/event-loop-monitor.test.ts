import { afterEach, expect, jest, test } from "@jest/globals";
import { createLogger, LogFormat } from "../../../src/common/logger.js";
import { EventLoopMonitor } from "../../../src/process/gateway/event-loop-monitor.js";
import { PrometheusMetrics } from "../../../src/process/metrics/prometheus-metrics.js";
import { failures } from "../../support/failures.js";

afterEach(() => void jest.restoreAllMocks());

test("logs and records the delay of a blocked event loop, and only records a short one", async () => {
    const lines: string[] = [];
    const metrics = new PrometheusMetrics();
    const monitor = new EventLoopMonitor(
        metrics,
        failures,
        createLogger(LogFormat.json, "info", "x", line => lines.push(line)),
    );
    let now = 0;
    jest.spyOn(performance, "now").mockImplementation(() => now);
    await monitor.start();
    now += 150;
    await jest.advanceTimersByTimeAsync(100);
    expect(lines).toEqual([]);
    now += 400;
    await jest.advanceTimersByTimeAsync(100);
    expect(lines).toHaveLength(1);
    expect(JSON.parse(lines[0]!)).toMatchObject({ level: "warn", delayMilliseconds: 300 });
    expect(metrics.render()).toContain("pomelostall_gateway_event_loop_delay_milliseconds_count 2");
    await monitor.stop();
    now += 1_000;
    await jest.advanceTimersByTimeAsync(1_000);
    expect(lines).toHaveLength(1);
});
