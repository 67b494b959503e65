/**
 * Paces the reading of callers' connections by what their bytes cost. Bytes in very small chunks cost the event loop as much for
 * each as bytes in large ones do for thousands, so that a few such clients take all of its time long before they reach a limit in
 * bytes. Each connection has an allowance of small chunks that ordinary clients don't use up. One that has is not read until
 * it has its allowance again, at a rate that all such connections share.
 */
import { monotonicNow } from "../../common/clock.js";

/** A chunk of this size or more costs nothing, one of a byte costs nearly 1, others in proportion. */
const freeChunkBytes = 512;
/** Enough for a body of 2 kB in chunks of one byte, or of 1 MB in chunks of 256 bytes. */
const allowance = 2_048;
/** Cost that is given back to one connection, and to all of them together. */
const costPerSecond = 1_024;
const costPerSecondOfAll = 16_384;
const millisecondsPerSecond = 1_000;

export class ReadingPace {
    private readonly spentConnections = new Set<ConnectionPace>();

    openConnection(): ConnectionPace {
        return new ConnectionPace(this.spentConnections);
    }
}

export class ConnectionPace {
    private left = allowance;
    private updatedAt = monotonicNow();
    private isSpent = false;

    constructor(private readonly spentConnections: Set<ConnectionPace>) {}

    /** Pays for a chunk that has been read. */
    spend(bytes: number): void {
        if (bytes < freeChunkBytes) {
            this.giveBack();
            this.left -= (freeChunkBytes - bytes) / freeChunkBytes;
            if (this.left < 0 && !this.isSpent) {
                this.isSpent = true;
                this.spentConnections.add(this);
            }
        }
    }

    /** Time for which the connection is not to be read; 0 if it may be. */
    get pauseMilliseconds(): number {
        this.giveBack();
        return this.isSpent ? Math.ceil((allowance - this.left) / this.rate) : 0;
    }

    close(): void {
        this.spentConnections.delete(this);
    }

    /** Cost that is given back in a millisecond. */
    private get rate(): number {
        const share = costPerSecondOfAll / Math.max(1, this.spentConnections.size);
        return Math.min(costPerSecond, share) / millisecondsPerSecond;
    }

    private giveBack(): void {
        const now = monotonicNow();
        this.left = Math.min(allowance, this.left + (now - this.updatedAt) * this.rate);
        this.updatedAt = now;
        if (this.isSpent && this.left >= allowance) {
            this.isSpent = false;
            this.spentConnections.delete(this);
        }
    }
}
