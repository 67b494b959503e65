/**
 * Tracks the requests in flight on each caller's connection, more than one if the caller pipelines them, and answers bytes
 * that are no request. While an earlier request of the connection is running, such bytes get no response, since the caller
 * would take it for the response to that request.
 */
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

/** By the runtime's error code; every other error is a malformed request. */
const statusesByError: ReadonlyMap<string | undefined, number> = new Map([
    ["ERR_HTTP_REQUEST_TIMEOUT", 408],
    ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
    ["HPE_HEADER_OVERFLOW", 431],
]);
const badRequestStatus = 400;

export class CallerConnections {
    private readonly inFlight = new WeakMap<Socket, number>();
    /** Connections on which no further request can be read. */
    private readonly unreadable = new WeakSet<Socket>();

    beginRequest(socket: Socket): void {
        this.inFlight.set(socket, this.countInFlight(socket) + 1);
    }

    endRequest(socket: Socket): void {
        this.inFlight.set(socket, this.countInFlight(socket) - 1);
    }

    countInFlight(socket: Socket): number {
        return this.inFlight.get(socket) ?? 0;
    }

    /** Whether the connection has to close after its last response. */
    isUnreadable(socket: Socket): boolean {
        return this.unreadable.has(socket);
    }

    /** Handles what the runtime reports of a connection on which it cannot read a request. */
    handleError({ code }: NodeJS.ErrnoException, socket: Socket): void {
        if (this.countInFlight(socket) > 0) {
            this.unreadable.add(socket);
            return;
        }
        if (socket.writable) {
            const status = statusesByError.get(code) ?? badRequestStatus;
            socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
        }
        socket.destroy();
    }
}
