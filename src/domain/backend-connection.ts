/** The link to one backend server, as requests and placement use it. */
import type { Stream } from "most";
import type {
    AttemptRequest,
    BackendServerEvent,
    EngineFrame,
    HoldingsReport,
    OrderReply,
    PlacementOrder,
} from "./engine-protocol.js";

/** A running attempt. */
export interface Attempt {
    /**
     * Frames in the order in which they arrived, to one observer. Ends after an end or failure frame; fails with a
     * ConnectionFailedError when the connection breaks, goes silent, or carries another attempt's frame.
     */
    readonly frames: Stream<EngineFrame>;
    /** Stops reading, so that the engine slows down. */
    pause(): void;
    resume(): void;
    /** Cancels the attempt at the engine and ends the frames. */
    cancel(): void;
}

/** How an attempt is to be sent. */
export interface AttemptOptions {
    /** Opens a connection for this attempt alone, for work that must not be repeated. */
    readonly freshConnection?: boolean;
}

/** What attempts and orders need of a backend server. */
export interface BackendServerConnection {
    readonly backendServer: string;
    startAttempt(request: AttemptRequest, options?: AttemptOptions): Attempt;
    sendOrder(order: PlacementOrder): Promise<OrderReply>;
    readHoldings(timeoutMilliseconds: number): Promise<HoldingsReport>;
    /** Load, cache events, draining and holdings; reconnects by itself. */
    readonly events: Stream<BackendServerEvent>;
    close(): void;
}

/** Finds the connection to a backend server, making it when needed. */
export interface BackendServerConnections {
    get(backendServer: string, address: string): BackendServerConnection;
}
