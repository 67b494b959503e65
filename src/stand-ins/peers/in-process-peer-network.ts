/**
 * Calls between routers in one process, for tests on a fake clock, with latency, lost calls and partitions. A router
 * can be paused: its timers and calls wait, as in a process that the operating system has stopped.
 */
import type { RandomSource } from "../../common/random.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { PeerHandler, PeerTransport, Timers } from "../../process/membership/index.js";

/** Timers that defer actions due during a pause and run them on `resume`. */
export class PausableTimers implements Timers {
    private paused = false;
    private deferredActions: (() => void)[] = [];

    after(milliseconds: number, action: () => void): () => void {
        let cancelled = false;
        const run = () => {
            if (!cancelled) {
                action();
            }
        };
        const timer = setTimeout(() => this.run(run), milliseconds);
        return () => {
            cancelled = true;
            clearTimeout(timer);
        };
    }

    /** Runs the action now or, during a pause, on `resume`. */
    run(action: () => void): void {
        if (this.paused) {
            this.deferredActions.push(action);
        }
        else {
            action();
        }
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
        for (const action of this.deferredActions.splice(0)) {
            action();
        }
    }
}

interface Endpoint {
    readonly handler: PeerHandler;
    readonly timers: PausableTimers;
}

export interface InProcessPeerNetworkOptions {
    readonly latencyMilliseconds: number;
    readonly random: RandomSource;
}

export class InProcessPeerNetwork {
    /** Probability from 0 to 1 that a request is lost, and likewise a reply. */
    lossShare = 0;
    /** Whether messages from one address reach another; emulates partitions. */
    isReachable: (from: string, to: string) => boolean = () => true;
    callCount = 0;
    private readonly endpoints = new Map<string, Endpoint>();

    constructor(private readonly options: InProcessPeerNetworkOptions) {}

    add(address: string, handler: PeerHandler, timers: PausableTimers): void {
        this.endpoints.set(address, { handler, timers });
    }

    /** Removes the router at the address; calls to it then time out. */
    remove(address: string): void {
        this.endpoints.delete(address);
    }

    transport(from: string, timers: PausableTimers): PeerTransport {
        const call = <Reply>(
            to: string,
            timeout: number,
            action: (handler: PeerHandler) => Reply | Promise<Reply>,
        ): Promise<Reply> => this.call(from, timers, to, timeout, action);
        return {
            gossip: (to, message, timeout) => call(to, timeout, handler => handler.gossip(message)),
            probeIndirectly: (to, target, timeout) => call(to, timeout, handler => handler.probeIndirectly(target)),
            exchange: (to, state, timeout) => call(to, timeout, handler => handler.exchange(state)),
            readVersion: (to, minimum, timeout) => call(to, timeout, handler => handler.readVersion(minimum)),
            closeConnection: () => undefined,
            keepConnectionsOpen: () => undefined,
        };
    }

    private call<Reply>(
        from: string,
        timers: PausableTimers,
        to: string,
        timeoutMilliseconds: number,
        action: (handler: PeerHandler) => Reply | Promise<Reply>,
    ): Promise<Reply> {
        this.callCount++;
        return new Promise<Reply>((resolve, reject) => {
            const cancelTimeout = timers.after(timeoutMilliseconds, () => reject(new PeerUnreachableError(to)));
            const answer = (reply: Reply) => {
                if (this.isDelivered(to, from)) {
                    setTimeout(() =>
                        timers.run(() => {
                            cancelTimeout();
                            resolve(reply);
                        }), this.options.latencyMilliseconds);
                }
            };
            if (!this.isDelivered(from, to)) {
                return;
            }
            setTimeout(() => {
                const endpoint = this.endpoints.get(to);
                endpoint?.timers.run(() =>
                    void Promise.resolve(action(endpoint.handler)).then(answer, () => undefined)
                );
            }, this.options.latencyMilliseconds);
        });
    }

    private isDelivered(from: string, to: string): boolean {
        return this.isReachable(from, to) && this.options.random.next() >= this.lossShare;
    }
}
