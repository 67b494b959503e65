/**
 * Contains failures of callbacks. The runtime ends the process if a callback of an event, of a timer or of a promise
 * throws, and with it the requests of all callers. A boundary belongs to one piece of work, such as an exchange with a
 * server: a failure in one of its callbacks is logged and counted, and ends that work only. The linter rejects callbacks
 * in the gateway that no boundary wraps.
 */
import { types } from "node:util";
import type { LogFields, Logger } from "./logger.js";
import type { Metrics } from "./metrics.js";

/** Creates boundaries, and logs and counts the failures that they contain. */
export class FailureReporter {
    constructor(private readonly metrics: Metrics, private readonly logger: Logger) {}

    /**
     * Creates the boundary of one piece of work. `endWork` is called after each failure; without it the work goes on, which
     * suits loops whose next pass starts afresh.
     */
    createBoundary(
        work: string,
        endWork: (error: unknown) => void = () => undefined,
        fields: LogFields = {},
    ): FailureBoundary {
        return new FailureBoundary(error => this.report(work, error, fields), endWork);
    }

    private report(work: string, error: unknown, fields: LogFields): void {
        this.metrics.increment("pomelostall.gateway.contained_failures", 1, { work });
        const stack = error instanceof Error ? error.stack : undefined;
        this.logger.error("unexpected failure; the work that it occurred in is ended", {
            ...fields,
            work,
            error: stack ?? String(error),
        });
    }
}

export class FailureBoundary {
    constructor(
        private readonly report: (error: unknown) => void,
        private readonly endWork: (error: unknown) => void,
    ) {}

    /** Returns a callback that contains what the given one throws, or rejects with if it is asynchronous. */
    wrap<Arguments extends unknown[]>(callback: (...values: Arguments) => unknown): (...values: Arguments) => void {
        return (...values) => {
            try {
                const result = callback(...values);
                if (types.isPromise(result)) {
                    result.catch((error: unknown) => this.contain(error));
                }
            }
            catch (error) {
                this.contain(error);
            }
        };
    }

    /** Runs the work now and contains its failure. Asynchronous work goes on in the background. */
    run(work: () => unknown): void {
        this.wrap(work)();
    }

    private contain(error: unknown): void {
        this.report(error);
        try {
            this.endWork(error);
        }
        catch (endError) {
            this.report(endError);
        }
    }
}
