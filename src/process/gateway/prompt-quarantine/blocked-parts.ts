/**
 * The prompt parts that are blocked now. A block ends when its key leaves the store, or after its duration: a repaired
 * engine is tried again.
 */
import { monotonicNow } from "../../../common/clock.js";

/** Also the longest lease that the platform's store grants. */
export const blockMilliseconds = 600_000;
/** Of the leases that the platform's store grants. */
const shortestLeaseMilliseconds = 1_000;
/** A defect concerns few parts; more keys than this were not written by routers. */
const maximumParts = 1_000;

interface Block {
    /** Monotonic time in milliseconds. */
    readonly endsAt: number;
    /** Whether the store is known to hold the key. */
    stored: boolean;
}

export class BlockedParts {
    private readonly blocks = new Map<string, Block>();

    /** Begins a block that this router has decided on or learnt of from another, and that the store does not hold. */
    begin(part: string, milliseconds = blockMilliseconds): void {
        this.blocks.set(part, { endsAt: monotonicNow() + Math.min(milliseconds, blockMilliseconds), stored: false });
    }

    get isFull(): boolean {
        return this.blocks.size >= maximumParts;
    }

    /** Applies a key of the store, and returns whether there is room for it. A known block keeps its end. */
    confirm(part: string): boolean {
        const block = this.blocks.get(part);
        if (block !== undefined) {
            block.stored = true;
            return true;
        }
        if (this.isFull) {
            return false;
        }
        this.blocks.set(part, { endsAt: monotonicNow() + blockMilliseconds, stored: true });
        return true;
    }

    /** Keeps the blocks whose keys are missing, as ones that the store does not hold. */
    keepMissing(parts: ReadonlySet<string>): void {
        this.blocks.forEach((block, part) => {
            block.stored &&= parts.has(part);
        });
    }

    /** Blocks that hold and whose keys the store is not known to hold. */
    get unstored(): { readonly part: string; readonly remainingMilliseconds: number; }[] {
        return [...this.blocks].filter(([, { stored }]) => !stored)
            .map(([part]) => ({ part, remainingMilliseconds: this.remainingMilliseconds(part) }))
            .filter(({ remainingMilliseconds }) => remainingMilliseconds >= shortestLeaseMilliseconds);
    }

    remove(part: string): void {
        this.blocks.delete(part);
    }

    /** Ends all blocks whose keys the store has held, except those of the given parts; returns the ended ones. */
    retain(parts: ReadonlySet<string>): string[] {
        const ended = [...this.blocks].filter(([part, { stored }]) => stored && !parts.has(part)).map(([part]) => part);
        ended.forEach(part => this.blocks.delete(part));
        return ended;
    }

    /** Milliseconds until the block of the part ends; 0 if it is not blocked. */
    remainingMilliseconds(part: string): number {
        return Math.max(0, (this.blocks.get(part)?.endsAt ?? -Infinity) - monotonicNow());
    }
}
