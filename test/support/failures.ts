/** Boundaries for parts that are tested by themselves. */
import { FailureReporter } from "../../src/common/failure-boundary.js";
import { SilentLogger } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";

export const failures = new FailureReporter(new SilentMetrics(), new SilentLogger());
export const boundary = failures.createBoundary("test");
