/**
 * Reads the holdings of backend servers that this router has no link to: all that are unknown soon, and the others
 * again from time to time, so that the subset is chosen over what is really held.
 */
import { monotonicNow } from "../../common/clock.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { HoldingsReport } from "../../domain/engine-protocol.js";
import type { BackendServerRecord } from "./backend-server-record.js";
import { holdingsTimeoutMilliseconds, refreshedHoldingsPerTick, unknownHoldingsPerTick } from "./constants.js";

export class HoldingsSweep {
    private readonly reading = new Set<BackendServerRecord>();

    constructor(
        private readonly connections: BackendServerConnections,
        private readonly received: (record: BackendServerRecord, report: HoldingsReport) => void,
        private readonly failed: (record: BackendServerRecord) => void,
    ) {}

    /** Starts the reads that are due. The records are those without a link, the nearest first. */
    tick(records: readonly BackendServerRecord[]): void {
        const idle = records.filter(record => !this.reading.has(record));
        const unknown = idle.filter(record => record.holdings === undefined);
        const known = idle.filter(record => record.holdings !== undefined)
            .sort((left, right) => (left.holdingsReadAt ?? 0) - (right.holdingsReadAt ?? 0));
        const limit = Math.max(0, unknownHoldingsPerTick - this.reading.size);
        const due = [...unknown.slice(0, limit), ...known.slice(0, refreshedHoldingsPerTick)];
        for (const record of due) {
            void this.read(record);
        }
    }

    private async read(record: BackendServerRecord): Promise<void> {
        this.reading.add(record);
        record.holdingsReadAt = monotonicNow();
        try {
            const { id, address } = record.description;
            this.received(record, await this.connections.get(id, address).readHoldings(holdingsTimeoutMilliseconds));
        }
        catch {
            this.failed(record);
        }
        finally {
            this.reading.delete(record);
        }
    }
}
