/**
 * Which backend servers are believed to hold which prefix blocks. Built from cache events, which come late and with
 * gaps: a gap drops what was believed of that server. Memory is bounded over all servers.
 */
import { LRUCache } from "lru-cache";
import type { CacheEvent } from "../../domain/engine-protocol.js";
import { maximumPrefixBlocks } from "./constants.js";

/** What is believed of one server since the last gap. */
interface BeliefPeriod {
    readonly backendServer: string;
    /** False once a gap or a restart has made the beliefs void. */
    valid: boolean;
    lastSequence: number | undefined;
}

export class PrefixIndex {
    private readonly holders: LRUCache<string, Set<BeliefPeriod>>;
    private readonly periods = new Map<string, BeliefPeriod>();

    constructor(maximumBlocks = maximumPrefixBlocks) {
        this.holders = new LRUCache({ max: maximumBlocks });
    }

    apply(backendServer: string, event: CacheEvent): void {
        let period = this.periods.get(backendServer);
        if (period?.lastSequence === event.sequence) {
            return;
        }
        if (period?.lastSequence === undefined || period.lastSequence + 1 !== event.sequence) {
            period = this.startPeriod(backendServer);
        }
        period.lastSequence = event.sequence;
        for (const hash of event.removed) {
            this.holders.peek(hash)?.delete(period);
        }
        for (const hash of event.added) {
            this.add(hash, period);
        }
    }

    /** Drops what is believed of the server. */
    drop(backendServer: string): void {
        const period = this.periods.get(backendServer);
        if (period !== undefined) {
            period.valid = false;
            this.periods.delete(backendServer);
        }
    }

    /** For each server that is believed to hold some of the prompt's prefix, how many of its blocks. */
    match(prefixBlocks: readonly string[]): Map<string, number> {
        const matched = new Map<string, number>();
        if (this.periods.size === 0) {
            return matched;
        }
        for (let index = prefixBlocks.length - 1; index >= 0; index--) {
            for (const period of this.holders.get(prefixBlocks[index]!) ?? []) {
                if (period.valid && !matched.has(period.backendServer)) {
                    matched.set(period.backendServer, index + 1);
                }
            }
        }
        return matched;
    }

    get blockTotal(): number {
        return this.holders.size;
    }

    private startPeriod(backendServer: string): BeliefPeriod {
        this.drop(backendServer);
        const period = { backendServer, valid: true, lastSequence: undefined };
        this.periods.set(backendServer, period);
        return period;
    }

    private add(hash: string, period: BeliefPeriod): void {
        const holders = this.holders.get(hash);
        if (holders === undefined) {
            this.holders.set(hash, new Set([period]));
            return;
        }
        for (const holder of holders) {
            if (!holder.valid) {
                holders.delete(holder);
            }
        }
        holders.add(period);
    }
}
