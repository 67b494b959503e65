/**
 * Reads one caller's connection at its pace: one that has spent its share on small chunks is held back until it has its share
 * again. The chunks of requests that are refused count as well, since the runtime reads these to their end.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary } from "../../common/failure-boundary.js";
import { type ConnectionReading, ReadingHold } from "./connection-reading.js";
import type { ConnectionPace } from "./reading-pace.js";

export class ConnectionInput {
    /** Set while the connection is held back for its cost. */
    private timer: ReturnType<typeof setTimeout> | undefined;
    private resumedAt = -Infinity;

    constructor(
        readonly reading: ConnectionReading,
        private readonly pace: ConnectionPace,
        private readonly boundary: FailureBoundary,
    ) {}

    /** Monotonic time since which the connection is read; now while it is held back. */
    get readSince(): number {
        return this.timer === undefined ? this.resumedAt : monotonicNow();
    }

    /** Pays for a chunk that has been read. */
    spend(bytes: number): void {
        this.pace.spend(bytes);
        if (this.timer === undefined && this.pace.pauseMilliseconds > 0) {
            this.reading.hold(ReadingHold.pace);
            this.awaitShare();
        }
    }

    /** Reads on at once, so that the end of the connection is noticed. The next small chunk may hold it back again. */
    readOn(): void {
        if (this.timer !== undefined) {
            clearTimeout(this.timer);
            this.timer = undefined;
            this.resumedAt = monotonicNow();
            this.reading.release(ReadingHold.pace);
        }
    }

    close(): void {
        clearTimeout(this.timer);
        this.pace.close();
    }

    private awaitShare(): void {
        const check = () => this.pace.pauseMilliseconds > 0 ? this.awaitShare() : this.readOn();
        this.timer = setTimeout(this.boundary.wrap(check), this.pace.pauseMilliseconds);
    }
}
