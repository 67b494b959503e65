/** Connections to backend servers, which run attempts and execute placement orders. */
import type { Stream } from "most";
import type {
    AttemptRequest,
    BackendServerEvent,
    EngineFrame,
    HoldingsReport,
    OrderReply,
    PlacementOrder,
} from "./engine-protocol.js";

export interface Attempt {
    /**
     * Frames in order of arrival, delivered to a single observer. Ends after an end or failure frame. Fails with a
     * ConnectionFailedError if the connection breaks, sends nothing for too long, or delivers a frame of another
     * attempt.
     */
    readonly frames: Stream<EngineFrame>;
    /** Stops reading from the connection, so that backpressure slows the engine down. */
    pause(): void;
    resume(): void;
    /** Cancels the attempt on the engine and ends `frames`. */
    cancel(): void;
}

export interface AttemptOptions {
    /** Opens a new connection for this attempt only; used for requests that must not run twice. */
    readonly freshConnection?: boolean;
}

/** Sends attempts and placement orders to one backend server and receives its events. */
export interface BackendServerConnection {
    readonly backendServer: string;
    startAttempt(request: AttemptRequest, options?: AttemptOptions): Attempt;
    sendOrder(order: PlacementOrder): Promise<OrderReply>;
    readHoldings(timeoutMilliseconds: number): Promise<HoldingsReport>;
    /** Load, cache, draining and holdings events; reconnects automatically. */
    readonly events: Stream<BackendServerEvent>;
    close(): void;
}

/** Pool of connections; `get` creates the connection to a backend server if there is none. */
export interface BackendServerConnections {
    get(backendServer: string, address: string): BackendServerConnection;
}
