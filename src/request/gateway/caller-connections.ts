/**
 * Tracks the requests in flight on each caller's connection, more than one if the caller pipelines them, and answers bytes
 * that are no request. While an earlier request of the connection is running, such bytes get no response, since the caller
 * would take it for the response to that request. Also holds the limits on connections and on the requests in flight.
 */
import { type IncomingMessage, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { FailureBoundary } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { TooManyRequestsError } from "../../errors/index.js";
import type { ClientLimits } from "../../process/gateway/client-limits.js";
import { ConnectionInput } from "./connection-input.js";
import { IdleConnectionLimit } from "./connection-limit.js";
import { ConnectionReading, ReadingHold } from "./connection-reading.js";
import { ReadingPace } from "./reading-pace.js";

export interface CallerConnectionsDependencies {
    readonly limits: ClientLimits;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** By the runtime's error code; every other error is a malformed request. */
const statusesByError: ReadonlyMap<string | undefined, number> = new Map([
    ["ERR_HTTP_REQUEST_TIMEOUT", 408],
    ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
    ["HPE_HEADER_OVERFLOW", 431],
]);
const badRequestStatus = 400;
/** The rest is for connections that have just been opened, before idle ones have been closed for them. */
const keptConnectionShare = 0.9;
/** Requests beyond the limit of a connection are refused; beyond this multiple of it, the connection is closed. */
const refusedPipelineFactor = 2;
/** Requests of one connection in flight beyond which it is not read until some have ended. */
const readAheadRequests = 4;
/** Most requests end within this time. */
const excessRetryAfterSeconds = 1;

export class CallerConnections {
    private readonly inFlight = new WeakMap<Socket, number>();
    private readonly pace = new ReadingPace();
    private readonly inputs = new WeakMap<Socket, ConnectionInput>();
    /** Connections on which no further request can be read. */
    private readonly unreadable = new WeakSet<Socket>();
    private readonly limit: IdleConnectionLimit<Socket>;

    constructor(private readonly dependencies: CallerConnectionsDependencies) {
        this.limit = new IdleConnectionLimit(dependencies.limits.maximumConnections * keptConnectionShare);
    }

    /** Closes an idle connection, or the new one, if there are as many as there may be. */
    open(socket: Socket, boundary: FailureBoundary): void {
        const reading = new ConnectionReading(socket, boundary);
        const input = new ConnectionInput(reading, this.pace.openConnection(), boundary);
        this.inputs.set(socket, input);
        socket.once(
            "close",
            boundary.wrap(() => {
                this.limit.closed(socket);
                input.close();
            }),
        );
        const closing = this.limit.opened(socket);
        if (closing !== undefined) {
            this.closeConnection(closing, "limit");
        }
    }

    /** Closes a connection that goes on sending requests although they are refused; returns whether it has. */
    closeIfFlooded(socket: Socket): boolean {
        const { maximumPipelinedRequests } = this.dependencies.limits;
        const isFlooded = this.countInFlight(socket) >= refusedPipelineFactor * maximumPipelinedRequests;
        if (isFlooded) {
            this.closeConnection(socket, "pipelining");
        }
        return isFlooded;
    }

    /** Throws TooManyRequestsError if the latest request exceeds the limit of its connection or that of the router. */
    refuseExcess(socket: Socket, requestsInFlight: number): void {
        const { maximumRequests, maximumPipelinedRequests } = this.dependencies.limits;
        if (this.countInFlight(socket) > maximumPipelinedRequests) {
            this.markUnreadable(socket);
            throw new TooManyRequestsError(maximumPipelinedRequests, excessRetryAfterSeconds);
        }
        if (requestsInFlight > maximumRequests) {
            throw new TooManyRequestsError(maximumRequests, excessRetryAfterSeconds);
        }
    }

    private closeConnection(socket: Socket, reason: string): void {
        this.dependencies.metrics.increment("pomelostall.gateway.closed_connections", 1, { reason });
        this.dependencies.logger.info("caller connection closed by the router", { reason, caller: addressOf(socket) });
        socket.destroy();
    }

    /** No further request is read from the connection, which closes after its last response. */
    markUnreadable(socket: Socket): void {
        this.unreadable.add(socket);
    }

    /** Of a connection that has been opened. */
    inputOf(socket: Socket): ConnectionInput {
        return this.inputs.get(socket)!;
    }

    /** Call for a refused request. The rest of it is read to its end, and costs as much as one that is served. */
    paceUnread(message: IncomingMessage, boundary: FailureBoundary): void {
        if (!message.complete) {
            const input = this.inputOf(message.socket);
            message.on("data", boundary.wrap((chunk: Buffer) => input.spend(chunk.length)));
        }
    }

    /**
     * While some requests wait behind others of their connection, no more are read: a read holds many, and takes the time of all
     * other connections.
     */
    beginRequest(socket: Socket): void {
        this.inFlight.set(socket, this.countInFlight(socket) + 1);
        this.limit.requestBegun(socket);
        if (this.countInFlight(socket) > readAheadRequests) {
            this.inputOf(socket).reading.hold(ReadingHold.pipelining);
        }
    }

    endRequest(socket: Socket): void {
        this.inFlight.set(socket, this.countInFlight(socket) - 1);
        if (this.countInFlight(socket) <= readAheadRequests) {
            this.inputOf(socket).reading.release(ReadingHold.pipelining);
        }
        if (this.countInFlight(socket) === 0) {
            this.limit.requestsEnded(socket);
        }
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

export function addressOf({ remoteAddress, remotePort }: Socket): string {
    return `${remoteAddress}:${remotePort}`;
}
