/** KV cache of attempts, per layer range, retained for a limited time after an attempt ends. */
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

    constructor(private readonly retentionMilliseconds: number, private readonly bytesPerTokenLayer: number) {}

    /** Records that the layers have computed this many tokens; the count never decreases. */
    store(attemptId: string, layers: LayerRange, tokens: number): void {
        const entries = this.entries.get(attemptId) ?? [];
        const existing = entries.find(entry =>
            entry.layers.first === layers.first && entry.layers.last === layers.last
        );
        if (existing === undefined) {
            entries.push({ attemptId, layers, tokens, expiresAt: Number.POSITIVE_INFINITY });
            this.entries.set(attemptId, entries);
            return;
        }
        existing.tokens = Math.max(existing.tokens, tokens);
        existing.expiresAt = Number.POSITIVE_INFINITY;
    }

    /** Number of tokens whose KV cache is available for all of the layers; 0 if there is none or it has expired. */
    cachedTokens(attemptId: string, layers: LayerRange): number {
        const entry = this.entries.get(attemptId)?.find(cached => containsRange(cached.layers, layers));
        return entry === undefined || entry.expiresAt <= monotonicNow() ? 0 : entry.tokens;
    }

    /** Starts the retention period of the attempt's cache. */
    release(attemptId: string): void {
        for (const entry of this.entries.get(attemptId) ?? []) {
            entry.expiresAt = Math.min(entry.expiresAt, monotonicNow() + this.retentionMilliseconds);
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
