/** Prefix cache with a limited number of blocks. Its cache events are delayed, and some are lost. */
import { LRUCache } from "lru-cache";
import type { RandomSource } from "../../common/random.js";
import type { CacheEvent } from "../../domain/engine-protocol.js";
import { charactersPerToken, prefixBlockCharacters } from "../../domain/prefix-blocks.js";

const tokensPerBlock = prefixBlockCharacters / charactersPerToken;

export interface PrefixCacheOptions {
    readonly maximumBlocks: number;
    readonly eventDelayMilliseconds: number;
    /** Share of cache events that are lost, from 0 to 1. A lost event leaves a gap in the sequence numbers. */
    readonly eventLossShare: number;
}

export class PrefixCache {
    private readonly blocks: LRUCache<string, true>;
    private added: string[] = [];
    private removed: string[] = [];
    private sequence = 0;
    private timer: ReturnType<typeof setTimeout> | undefined;

    constructor(
        private readonly options: PrefixCacheOptions,
        private readonly random: RandomSource,
        private readonly publish: (event: CacheEvent) => void,
    ) {
        this.blocks = new LRUCache<string, true>({
            max: options.maximumBlocks,
            dispose: (_value, hash, reason) => {
                if (reason === "evict") {
                    this.removed.push(hash);
                }
            },
        });
    }

    /** Number of prompt tokens, counted from the start, whose blocks are cached without a gap. */
    cachedTokens(hashes: readonly string[]): number {
        const missing = hashes.findIndex(hash => !this.blocks.has(hash));
        return (missing === -1 ? hashes.length : missing) * tokensPerBlock;
    }

    /** Adds a prompt's blocks, or marks them as recently used. */
    add(hashes: readonly string[]): void {
        for (const hash of hashes) {
            if (!this.blocks.has(hash)) {
                this.added.push(hash);
            }
            this.blocks.set(hash, true);
        }
        if (this.added.length + this.removed.length > 0) {
            this.timer ??= setTimeout(() => this.publishChanges(), this.options.eventDelayMilliseconds);
        }
    }

    clear(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.blocks.clear();
        this.added = [];
        this.removed = [];
    }

    private publishChanges(): void {
        this.timer = undefined;
        const event: CacheEvent = {
            type: "cache",
            sequence: ++this.sequence,
            added: this.added,
            removed: this.removed,
        };
        this.added = [];
        this.removed = [];
        if (this.random.next() >= this.options.eventLossShare) {
            this.publish(event);
        }
    }
}
