/**
 * Graceful shutdown: counts the requests in flight and drains a router in steps. It first reports not ready but still
 * accepts requests, so that the load balancer can stop routing to it; then it refuses new requests; then it waits for
 * the requests in flight.
 */
import { delay } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";

export const DrainState = {
    serving: "serving",
    notReady: "not-ready",
    refusing: "refusing",
    drained: "drained",
} as const;
export type DrainState = typeof DrainState[keyof typeof DrainState];

export interface DrainOptions {
    /** Time between reporting not ready and refusing new requests. */
    readonly balancerDelayMilliseconds: number;
    /** Longest wait for the requests in flight, after new requests are refused. */
    readonly timeoutMilliseconds: number;
}

export class DrainController {
    private currentState: DrainState = DrainState.serving;
    private inFlightCount = 0;
    private readonly idleListeners: (() => void)[] = [];
    private drainPromise: Promise<void> | undefined;

    constructor(private readonly options: DrainOptions, private readonly logger: Logger) {}

    get state(): DrainState {
        return this.currentState;
    }

    get requestsInFlight(): number {
        return this.inFlightCount;
    }

    /** Whether the readiness check succeeds, so that the load balancer sends requests to this router. */
    get ready(): boolean {
        return this.currentState === DrainState.serving;
    }

    /** Whether new requests are accepted. */
    get accepting(): boolean {
        return this.currentState === DrainState.serving || this.currentState === DrainState.notReady;
    }

    /** Counts a request as in flight until the returned function is called; repeated calls have no effect. */
    beginRequest(): () => void {
        this.inFlightCount++;
        let ended = false;
        return () => {
            if (!ended) {
                ended = true;
                this.inFlightCount--;
                this.notifyIfIdle();
            }
        };
    }

    /** Drains the router. Resolves when it is drained; later calls return the promise of the first. */
    drain(): Promise<void> {
        this.drainPromise ??= this.runDrain();
        return this.drainPromise;
    }

    private async runDrain(): Promise<void> {
        this.transitionTo(DrainState.notReady);
        await delay(this.options.balancerDelayMilliseconds);
        this.transitionTo(DrainState.refusing);
        const deadline = new AbortController();
        await Promise.race([this.waitUntilIdle(), delay(this.options.timeoutMilliseconds, deadline.signal)]);
        deadline.abort();
        if (this.inFlightCount > 0) {
            this.logger.warn("drain timed out with requests still in flight", { requests: this.inFlightCount });
        }
        this.transitionTo(DrainState.drained);
    }

    private transitionTo(state: DrainState): void {
        this.currentState = state;
        this.logger.info("drain state changed", { state, requestsInFlight: this.inFlightCount });
    }

    private waitUntilIdle(): Promise<void> {
        if (this.inFlightCount === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => this.idleListeners.push(resolve));
    }

    private notifyIfIdle(): void {
        if (this.inFlightCount === 0) {
            this.idleListeners.splice(0).forEach(listener => listener());
        }
    }
}
