/**
 * Carries calls between routers in one process, for paused clocks: with latency, lost calls, partitions, and routers
 * that are paused, whose timers stand still as those of a stopped process.
 */
import type { RandomSource } from "../../common/random.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { PeerHandler, PeerTransport, Timers } from "../../process/membership/index.js";

/** Timers that hold their actions back while paused and run them, late, when they go on. */
export class PausableTimers implements Timers {
    private paused = false;
    private held: (() => void)[] = [];

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

    /** Runs the action, now or when the pause ends. */
    run(action: () => void): void {
        if (this.paused) {
            this.held.push(action);
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
        for (const action of this.held.splice(0)) {
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
    /** Share of calls that are lost. */
    lossShare = 0;
    /** Whether a call from one address to another gets through. */
    connected: (from: string, to: string) => boolean = () => true;
    callCount = 0;
    private readonly endpoints = new Map<string, Endpoint>();

    constructor(private readonly options: InProcessPeerNetworkOptions) {}

    add(address: string, handler: PeerHandler, timers: PausableTimers): void {
        this.endpoints.set(address, { handler, timers });
    }

    /** The router at the address is gone. */
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
            forget: () => undefined,
            keep: () => undefined,
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
                if (this.passes(to, from)) {
                    setTimeout(() =>
                        timers.run(() => {
                            cancelTimeout();
                            resolve(reply);
                        }), this.options.latencyMilliseconds);
                }
            };
            if (!this.passes(from, to)) {
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

    private passes(from: string, to: string): boolean {
        return this.connected(from, to) && this.options.random.next() >= this.lossShare;
    }
}
