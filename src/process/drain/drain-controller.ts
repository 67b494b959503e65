/**
 * Graceful shutdown: counts requests in flight, and takes a router out of service in steps. First it reports not ready
 * while it still serves, so that the balancer can notice; then it refuses new requests; then it waits for the rest.
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
    readonly balancerDelayMilliseconds: number;
    readonly timeoutMilliseconds: number;
}

export class DrainController {
    private currentState: DrainState = DrainState.serving;
    private requests = 0;
    private readonly idleListeners: (() => void)[] = [];
    private draining: Promise<void> | undefined;

    constructor(private readonly options: DrainOptions, private readonly logger: Logger) {}

    get state(): DrainState {
        return this.currentState;
    }

    get requestsInFlight(): number {
        return this.requests;
    }

    /** Whether the balancer should send requests here. */
    get ready(): boolean {
        return this.currentState === DrainState.serving;
    }

    /** Whether new requests are taken. */
    get accepting(): boolean {
        return this.currentState === DrainState.serving || this.currentState === DrainState.notReady;
    }

    /** Counts a request until the result is called. */
    begin(): () => void {
        this.requests++;
        let ended = false;
        return () => {
            if (!ended) {
                ended = true;
                this.requests--;
                this.notifyIfIdle();
            }
        };
    }

    /** Takes the router out of service; later calls wait for the first. */
    drain(): Promise<void> {
        this.draining ??= this.runDrain();
        return this.draining;
    }

    private async runDrain(): Promise<void> {
        this.enter(DrainState.notReady);
        await delay(this.options.balancerDelayMilliseconds);
        this.enter(DrainState.refusing);
        const deadline = new AbortController();
        await Promise.race([this.untilIdle(), delay(this.options.timeoutMilliseconds, deadline.signal)]);
        deadline.abort();
        if (this.requests > 0) {
            this.logger.warn("requests still in flight at the end of the drain", { requests: this.requests });
        }
        this.enter(DrainState.drained);
    }

    private enter(state: DrainState): void {
        this.currentState = state;
        this.logger.info("drain state", { state, requestsInFlight: this.requests });
    }

    private untilIdle(): Promise<void> {
        if (this.requests === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => this.idleListeners.push(resolve));
    }

    private notifyIfIdle(): void {
        if (this.requests === 0) {
            this.idleListeners.splice(0).forEach(listener => listener());
        }
    }
}
