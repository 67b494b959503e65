/**
 * Polls the holdings of backend servers whose events this router does not subscribe to: unknown holdings first, and
 * known ones in turn from the oldest on, so that the subset is selected from current holdings.
 */
import { monotonicNow } from "../../common/clock.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { HoldingsReport } from "../../domain/engine-protocol.js";
import type { BackendServerRecord } from "./backend-server-record.js";
import { maximumPendingHoldingsReads, readHoldingsTimeoutMilliseconds, refreshedHoldingsPerTick } from "./constants.js";

export class HoldingsPoller {
    private readonly pendingReads = new Set<BackendServerRecord>();

    constructor(
        private readonly connections: BackendServerConnections,
        private readonly onReport: (record: BackendServerRecord, report: HoldingsReport) => void,
        private readonly onFailure: (record: BackendServerRecord) => void,
    ) {}

    /** Starts the reads that are due. `records` are those without an event subscription, nearest first. */
    tick(records: readonly BackendServerRecord[]): void {
        const idle = records.filter(record => !this.pendingReads.has(record));
        const unknown = idle.filter(record => record.holdings === undefined);
        const known = idle.filter(record => record.holdings !== undefined)
            .sort((left, right) => (left.holdingsReadAt ?? 0) - (right.holdingsReadAt ?? 0));
        const limit = Math.max(0, maximumPendingHoldingsReads - this.pendingReads.size);
        const due = [...unknown.slice(0, limit), ...known.slice(0, refreshedHoldingsPerTick)];
        for (const record of due) {
            void this.read(record);
        }
    }

    private async read(record: BackendServerRecord): Promise<void> {
        this.pendingReads.add(record);
        record.holdingsReadAt = monotonicNow();
        try {
            const { id, address } = record.description;
            this.onReport(
                record,
                await this.connections.get(id, address).readHoldings(readHoldingsTimeoutMilliseconds),
            );
        }
        catch {
            this.onFailure(record);
        }
        finally {
            this.pendingReads.delete(record);
        }
    }
}
