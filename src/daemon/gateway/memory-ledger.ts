/** The ledger of a gateway's process, with its level in the metrics and what it ends in the log. */
import { FailureReporter } from "../../common/failure-boundary.js";
import { collectGarbage } from "../../common/garbage-collection.js";
import type { Logger } from "../../common/logger.js";
import { BoundedMemoryLedger, type MemoryLedger } from "../../common/memory-ledger.js";
import type { Metrics } from "../../common/metrics.js";

export function createMemoryLedger(capacityBytes: number, metrics: Metrics, logger: Logger): MemoryLedger {
    const boundary = new FailureReporter(metrics, logger.withLabel("failures")).createBoundary("garbage collection");
    const labelled = logger.withLabel("memory");
    metrics.gauge("pomelostall.gateway.held_memory_capacity_bytes", Math.round(capacityBytes));
    return new BoundedMemoryLedger(capacityBytes, {
        levelChanged: heldBytes => metrics.gauge("pomelostall.gateway.held_memory_bytes", heldBytes),
        // What was released is still referenced in this turn of the event loop.
        releasedMuch: () => setImmediate(boundary.wrap(collectGarbage)),
        holderEnded: ({ kind, owner }, bytes, heldMilliseconds) => {
            metrics.increment("pomelostall.gateway.memory_shortages", 1, { kind });
            labelled.warn("memory is short; the holder of most of it for the longest time is ended", {
                kind,
                owner,
                bytes,
                milliseconds: Math.round(heldMilliseconds),
            });
        },
    });
}
