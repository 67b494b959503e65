/**
 * Approximate index of the prefix blocks in each backend server's cache, built from cache events. The events arrive
 * late and may be lost; a gap in a server's sequence numbers discards all its entries. The number of indexed blocks is
 * limited over all servers, with the least recently used evicted first.
 */
import { LRUCache } from "lru-cache";
import type { CacheEvent } from "../../domain/engine-protocol.js";
import { maximumPrefixBlocks } from "./constants.js";

/** The period since the last gap in one server's cache events. */
interface CacheEpoch {
    readonly backendServer: string;
    /** False once a gap, a restart or the loss of the server has invalidated the entries of this epoch. */
    valid: boolean;
    lastSequence: number | undefined;
}

export class PrefixIndex {
    private readonly epochsByBlock: LRUCache<string, Set<CacheEpoch>>;
    private readonly epochs = new Map<string, CacheEpoch>();

    constructor(maximumBlocks = maximumPrefixBlocks) {
        this.epochsByBlock = new LRUCache({ max: maximumBlocks });
    }

    apply(backendServer: string, event: CacheEvent): void {
        let epoch = this.epochs.get(backendServer);
        if (epoch?.lastSequence === event.sequence) {
            return;
        }
        if (epoch?.lastSequence === undefined || epoch.lastSequence + 1 !== event.sequence) {
            epoch = this.startEpoch(backendServer);
        }
        epoch.lastSequence = event.sequence;
        for (const hash of event.removed) {
            this.epochsByBlock.peek(hash)?.delete(epoch);
        }
        for (const hash of event.added) {
            this.add(hash, epoch);
        }
    }

    /** Invalidates all entries of the server. */
    drop(backendServer: string): void {
        const epoch = this.epochs.get(backendServer);
        if (epoch !== undefined) {
            epoch.valid = false;
            this.epochs.delete(backendServer);
        }
    }

    /** Returns how many leading blocks of the prompt each server is expected to hold; servers with none are absent. */
    match(prefixBlocks: readonly string[]): Map<string, number> {
        const blockCounts = new Map<string, number>();
        if (this.epochs.size === 0) {
            return blockCounts;
        }
        for (let index = prefixBlocks.length - 1; index >= 0; index--) {
            for (const epoch of this.epochsByBlock.get(prefixBlocks[index]!) ?? []) {
                if (epoch.valid && !blockCounts.has(epoch.backendServer)) {
                    blockCounts.set(epoch.backendServer, index + 1);
                }
            }
        }
        return blockCounts;
    }

    get blockCount(): number {
        return this.epochsByBlock.size;
    }

    private startEpoch(backendServer: string): CacheEpoch {
        this.drop(backendServer);
        const epoch = { backendServer, valid: true, lastSequence: undefined };
        this.epochs.set(backendServer, epoch);
        return epoch;
    }

    private add(hash: string, epoch: CacheEpoch): void {
        const blockEpochs = this.epochsByBlock.get(hash);
        if (blockEpochs === undefined) {
            this.epochsByBlock.set(hash, new Set([epoch]));
            return;
        }
        for (const blockEpoch of blockEpochs) {
            if (!blockEpoch.valid) {
                blockEpochs.delete(blockEpoch);
            }
        }
        blockEpochs.add(epoch);
    }
}
