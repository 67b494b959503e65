/** The prefix cache: blocks in limited memory, and events about them that come late and with gaps. */
import { LRUCache } from "lru-cache";
import type { RandomSource } from "../../common/random.js";
import type { CacheEvent } from "../../domain/engine-protocol.js";
import { charactersPerToken, prefixBlockCharacters } from "../../domain/prefix-blocks.js";

const tokensPerBlock = prefixBlockCharacters / charactersPerToken;

export interface PrefixCacheOptions {
    readonly blocks: number;
    readonly delayMilliseconds: number;
    readonly lossShare: number;
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
            max: options.blocks,
            dispose: (_value, hash, reason) => {
                if (reason === "evict") {
                    this.removed.push(hash);
                }
            },
        });
    }

    /** Tokens of the prompt that are in the cache, from its start. */
    cachedTokens(hashes: readonly string[]): number {
        const missing = hashes.findIndex(hash => !this.blocks.has(hash));
        return (missing === -1 ? hashes.length : missing) * tokensPerBlock;
    }

    /** Adds a prompt's blocks, or marks them as used. */
    add(hashes: readonly string[]): void {
        for (const hash of hashes) {
            if (!this.blocks.has(hash)) {
                this.added.push(hash);
            }
            this.blocks.set(hash, true);
        }
        if (this.added.length + this.removed.length > 0) {
            this.timer ??= setTimeout(() => this.publishChanges(), this.options.delayMilliseconds);
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
        if (this.random.next() >= this.options.lossShare) {
            this.publish(event);
        }
    }
}
