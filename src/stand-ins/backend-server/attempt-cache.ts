/** KV cache of attempts, for each layer range, kept for a while after the attempt ended. */
import { monotonicNow } from "../../common/clock.js";
import { containsRange, layerCount, type LayerRange } from "../../domain/layers.js";

interface CacheEntry {
    readonly attemptId: string;
    readonly layers: LayerRange;
    tokens: number;
    expiresAt: number;
}

export class AttemptCache {
    private readonly entries = new Map<string, CacheEntry[]>();

    constructor(private readonly keepMilliseconds: number, private readonly bytesPerTokenLayer: number) {}

    /** Sets how many tokens have passed through the layers. */
    store(attemptId: string, layers: LayerRange, tokens: number): void {
        const entries = this.entries.get(attemptId) ?? [];
        const known = entries.find(entry => entry.layers.first === layers.first && entry.layers.last === layers.last);
        if (known === undefined) {
            entries.push({ attemptId, layers, tokens, expiresAt: Number.POSITIVE_INFINITY });
            this.entries.set(attemptId, entries);
            return;
        }
        known.tokens = Math.max(known.tokens, tokens);
        known.expiresAt = Number.POSITIVE_INFINITY;
    }

    /** Tokens that are held for all of the layers. */
    tokens(attemptId: string, layers: LayerRange): number {
        const entry = this.entries.get(attemptId)?.find(held => containsRange(held.layers, layers));
        return entry === undefined || entry.expiresAt <= monotonicNow() ? 0 : entry.tokens;
    }

    /** Starts the time after which the attempt's cache is dropped. */
    release(attemptId: string): void {
        for (const entry of this.entries.get(attemptId) ?? []) {
            entry.expiresAt = Math.min(entry.expiresAt, monotonicNow() + this.keepMilliseconds);
        }
    }

    removeExpired(): void {
        const now = monotonicNow();
        for (const [attemptId, entries] of this.entries) {
            if (entries.every(entry => entry.expiresAt <= now)) {
                this.entries.delete(attemptId);
            }
        }
    }

    clear(): void {
        this.entries.clear();
    }

    get bytes(): number {
        let total = 0;
        for (const entries of this.entries.values()) {
            for (const entry of entries) {
                total += entry.tokens * layerCount(entry.layers) * this.bytesPerTokenLayer;
            }
        }
        return total;
    }
}
