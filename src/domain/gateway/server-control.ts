/** Asking and ordering model engines. */
import type { LayerRange } from "../layers.js";
import type { PathPart } from "./dialect.js";
import type { OrderOutcome, ServerEntry, ServerReport } from "./server-entry.js";

export interface ServerControl {
    /** Rejects with ConnectionFailedError if the engine gives no report in time. */
    readReport(server: ServerEntry): Promise<ServerReport>;
    /** Whether the engine is well and stays. Rejects with ConnectionFailedError if it gives no answer in time. */
    isHealthy(server: ServerEntry, healthPath: string): Promise<boolean>;
    /**
     * Orders a range of layers, provided that the engine has begun just so many orders before. Rejects with
     * ConnectionFailedError if no answer comes; the order may then still be carried out.
     */
    placeLayers(server: ServerEntry, layers: LayerRange, ordersBegun: number): Promise<OrderOutcome>;
    /**
     * Moves a running request, which the server received as the first of its path, to another path with the same first
     * part. Rejects with ConnectionFailedError if no answer comes.
     */
    changePath(server: ServerEntry, requestId: string, path: readonly PathPart[]): Promise<OrderOutcome>;
}
