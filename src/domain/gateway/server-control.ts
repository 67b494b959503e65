/** Reads the state of model engines and sends them orders. */
import type { LayerRange } from "../layers.js";
import type { PathPart } from "./dialect.js";
import type { OrderOutcome, ServerEntry, ServerReport } from "./server-entry.js";

export interface ServerControl {
    /** Rejects with ConnectionFailedError if the engine does not return a report in time. */
    readReport(server: ServerEntry): Promise<ServerReport>;
    /**
     * Resolves to whether the engine is healthy and not leaving. Rejects with ConnectionFailedError if it does not
     * respond in time.
     */
    isHealthy(server: ServerEntry, healthPath: string): Promise<boolean>;
    /**
     * Orders the engine to load a range of layers, on condition that it has begun exactly `ordersBegun` orders so far.
     * Rejects with ConnectionFailedError if there is no response; the engine may still carry out the order.
     */
    placeLayers(server: ServerEntry, layers: LayerRange, ordersBegun: number): Promise<OrderOutcome>;
    /**
     * Moves a running request to another layer path with the same first part. The server must be the first one of the
     * request's current path. Rejects with ConnectionFailedError if there is no response.
     */
    changePath(server: ServerEntry, requestId: string, path: readonly PathPart[]): Promise<OrderOutcome>;
}
