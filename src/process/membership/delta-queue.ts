/**
 * Deltas to be sent to other routers: first forwarded to every peer, then piggybacked on a number of probes in case a
 * forwarded message was lost.
 */
import type { Delta } from "./types.js";

interface QueuedDelta {
    readonly delta: Delta;
    /** ID of the peer that sent the delta, to which it is not forwarded; undefined for a delta of this router. */
    readonly source: string | undefined;
    /** Number of probes that are still to carry the delta. */
    remainingRepeats: number;
}

/** The key of a delta; a newer delta replaces a queued one with the same key. */
export function deltaKey(delta: Delta): string {
    switch (delta.kind) {
        case "member":
            return `member ${delta.member.id}`;
        case "notice":
            return `notice ${delta.notice.backendServer} ${delta.notice.signal}`;
        case "version":
            return "version";
    }
}

export class DeltaQueue {
    private pending = new Map<string, QueuedDelta>();
    private readonly piggybacked = new Map<string, QueuedDelta>();

    constructor(private readonly piggybackRepeats: number, private readonly maximumPiggybackedDeltas: number) {}

    add(delta: Delta, source: string | undefined): void {
        const queued = { delta, source, remainingRepeats: this.piggybackRepeats };
        this.piggybacked.delete(deltaKey(delta));
        this.pending.set(deltaKey(delta), queued);
    }

    get hasPending(): boolean {
        return this.pending.size > 0;
    }

    /** Whether no delta waits to be forwarded or piggybacked. */
    get isEmpty(): boolean {
        return this.pending.size + this.piggybacked.size === 0;
    }

    /** The pending deltas to forward to a peer: all but those that it sent itself. */
    pendingFor(peerId: string): Delta[] {
        return [...this.pending.values()].filter(queued => queued.source !== peerId).map(queued => queued.delta);
    }

    /** Marks all pending deltas as forwarded; from now on they are only piggybacked on probes. */
    markForwarded(): void {
        for (const [key, queued] of this.pending) {
            this.piggybacked.set(key, queued);
        }
        this.pending = new Map();
    }

    /** Takes the deltas to piggyback on one probe, and counts one repeat for each. */
    takePiggyback(): Delta[] {
        const taken: Delta[] = [];
        for (const [key, queued] of this.piggybacked) {
            if (taken.length === this.maximumPiggybackedDeltas) {
                break;
            }
            taken.push(queued.delta);
            queued.remainingRepeats--;
            if (queued.remainingRepeats <= 0) {
                this.piggybacked.delete(key);
            }
        }
        return taken;
    }
}
