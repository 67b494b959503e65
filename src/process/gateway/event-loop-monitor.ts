/**
 * Measures how late the event loop runs its timers. A router that has too little processor time, or a task that blocks
 * the loop, reads requests, responses and disconnections late by about the same time.
 */
import process from "node:process";
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";

const sampleIntervalMilliseconds = 100;
/** Delays from this on are logged: half of the time in which a disconnected caller's request must have been cancelled. */
const loggedDelayMilliseconds = 250;
const microsecondsPerMillisecond = 1_000;

export class EventLoopMonitor implements ManagedComponent {
    readonly name = "event loop monitor";
    private timer: ReturnType<typeof setTimeout> | undefined;

    private readonly boundary: FailureBoundary;

    constructor(private readonly metrics: Metrics, failures: FailureReporter, private readonly logger: Logger) {
        this.boundary = failures.createBoundary("event loop monitor", () => this.scheduleSample());
    }

    async start(): Promise<void> {
        this.scheduleSample();
    }

    async stop(): Promise<void> {
        clearTimeout(this.timer);
    }

    private scheduleSample(): void {
        const scheduledAt = monotonicNow();
        const processorTimeBefore = process.cpuUsage();
        this.timer = setTimeout(
            this.boundary.wrap(() => {
                this.recordDelay(scheduledAt, processorTimeBefore);
                this.scheduleSample();
            }),
            sampleIntervalMilliseconds,
        );
    }

    private recordDelay(scheduledAt: number, processorTimeBefore: NodeJS.CpuUsage): void {
        const delayMilliseconds = Math.max(0, monotonicNow() - scheduledAt - sampleIntervalMilliseconds);
        this.metrics.timing("pomelostall.gateway.event_loop_delay_milliseconds", delayMilliseconds);
        if (delayMilliseconds < loggedDelayMilliseconds) {
            return;
        }
        const { user, system } = process.cpuUsage(processorTimeBefore);
        this.logger.warn("event loop delayed; requests, responses and disconnections are read late", {
            delayMilliseconds: Math.round(delayMilliseconds),
            processorMilliseconds: Math.round((user + system) / microsecondsPerMillisecond),
            residentMegabytes: Math.round(process.memoryUsage.rss() / 1e6),
        });
    }
}
