/** News on their way to other routers: forwarded to each peer at once, then added to some probes in case one was lost. */
import type { Delta } from "./types.js";

interface QueuedDelta {
    readonly delta: Delta;
    /** The peer it came from, which needs no forwarding. */
    readonly source: string | undefined;
    repeats: number;
}

/** News of one key replace each other. */
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

export class NewsQueue {
    private fresh = new Map<string, QueuedDelta>();
    private readonly repeated = new Map<string, QueuedDelta>();

    constructor(private readonly piggybackRepeats: number, private readonly maximumDeltas: number) {}

    add(delta: Delta, source: string | undefined): void {
        const queued = { delta, source, repeats: this.piggybackRepeats };
        this.repeated.delete(deltaKey(delta));
        this.fresh.set(deltaKey(delta), queued);
    }

    get hasFresh(): boolean {
        return this.fresh.size > 0;
    }

    /** Whether any news is still on its way. */
    get isEmpty(): boolean {
        return this.fresh.size + this.repeated.size === 0;
    }

    /** The fresh news that a peer needs. */
    freshFor(peerId: string): Delta[] {
        return [...this.fresh.values()].filter(queued => queued.source !== peerId).map(queued => queued.delta);
    }

    /** All fresh news were forwarded; from now on they are only repeated. */
    forwarded(): void {
        for (const [key, queued] of this.fresh) {
            this.repeated.set(key, queued);
        }
        this.fresh = new Map();
    }

    /** News to add to a probe. */
    takePiggyback(): Delta[] {
        const taken: Delta[] = [];
        for (const [key, queued] of this.repeated) {
            if (taken.length === this.maximumDeltas) {
                break;
            }
            taken.push(queued.delta);
            queued.repeats--;
            if (queued.repeats <= 0) {
                this.repeated.delete(key);
            }
        }
        return taken;
    }
}
