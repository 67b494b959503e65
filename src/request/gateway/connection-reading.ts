/**
 * Holds back the reading of a caller's connection, so that what it sends waits in the caller's machine. The runtime resumes a
 * connection by itself as soon as a request on it is complete or its body is read on; while the connection is held, each such
 * resumption is undone.
 */
import type { Socket } from "node:net";
import type { FailureBoundary } from "../../common/failure-boundary.js";

export const ReadingHold = {
    /** Requests of the connection wait behind others. */
    pipelining: "pipelining",
    /** The bytes of the connection cost more than its share. */
    pace: "pace",
} as const;
export type ReadingHold = typeof ReadingHold[keyof typeof ReadingHold];

export class ConnectionReading {
    private readonly holds = new Set<ReadingHold>();

    constructor(private readonly socket: Socket, boundary: FailureBoundary) {
        socket.on("resume", boundary.wrap(() => this.holds.size > 0 && this.socket.pause()));
    }

    /** The rest of what has been read already is still handled. */
    hold(reason: ReadingHold): void {
        this.holds.add(reason);
        this.socket.pause();
    }

    release(reason: ReadingHold): void {
        if (this.holds.delete(reason) && this.holds.size === 0) {
            this.socket.resume();
        }
    }
}
