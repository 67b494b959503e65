/**
 * Caches the holdings report of each backend server. A report is read when a server is new or has restarted, when the
 * last read failed, and when the cached report is old. The report of a server that does not answer is used for a grace
 * period; after it, the server is excluded.
 */
import { monotonicNow } from "../../common/clock.js";
import type { BackendServerDescription } from "../../domain/backend-server.js";
import type { HoldingsReport } from "../../domain/engine-protocol.js";
import { maximumConcurrentOrders, maximumHoldingsAgeMilliseconds, unreachableGraceMilliseconds } from "./constants.js";
import type { PlacementServer } from "./types.js";

interface CachedReport {
    readonly incarnation: number;
    readonly report: HoldingsReport;
    readonly readAt: number;
    /** Time of the first failed read since the last report; undefined while the server answers. */
    unreachableSince: number | undefined;
}

/** Reads the holdings of one backend server; undefined if it does not answer. */
export type HoldingsReader = (server: BackendServerDescription) => Promise<HoldingsReport | undefined>;

export class HoldingsCache {
    private readonly reportsById = new Map<string, CachedReport>();

    constructor(private readonly read: HoldingsReader) {}

    /** Removes all reports; a new holder reads all of them again. */
    clear(): void {
        this.reportsById.clear();
    }

    /** The highest fencing number that any backend server has reported. */
    get highestFencingNumber(): number {
        let highest = 0;
        for (const { report } of this.reportsById.values()) {
            highest = Math.max(highest, report.fencingNumber);
        }
        return highest;
    }

    /** Records the report of a server; undefined records that the server did not answer. */
    record(server: BackendServerDescription, report: HoldingsReport | undefined): void {
        const now = monotonicNow();
        const previous = this.reportsById.get(server.id);
        if (report !== undefined) {
            this.reportsById.set(server.id, {
                incarnation: server.incarnation,
                report,
                readAt: now,
                unreachableSince: undefined,
            });
        }
        else if (previous !== undefined) {
            previous.unreachableSince ??= now;
        }
    }

    /** Reads missing and outdated reports, and returns the servers with a usable report. */
    async refresh(
        servers: readonly BackendServerDescription[],
        isLeaving: (id: string) => boolean,
    ): Promise<PlacementServer[]> {
        this.removeDeparted(servers);
        const toRead = servers.filter(server => this.needsRefresh(server));
        const readers = Array.from({ length: maximumConcurrentOrders }, async (_unused, first) => {
            for (let index = first; index < toRead.length; index += maximumConcurrentOrders) {
                const server = toRead[index]!;
                this.record(server, await this.read(server));
            }
        });
        await Promise.all(readers);
        return servers.flatMap(server => {
            const cached = this.reportsById.get(server.id);
            return cached === undefined || !this.isUsable(cached, server) ? [] : [{
                description: server,
                holdings: cached.report.holdings,
                role: cached.report.role,
                draining: cached.report.draining || isLeaving(server.id),
            }];
        });
    }

    private removeDeparted(servers: readonly BackendServerDescription[]): void {
        const currentIds = new Set(servers.map(server => server.id));
        for (const id of this.reportsById.keys()) {
            if (!currentIds.has(id)) {
                this.reportsById.delete(id);
            }
        }
    }

    private needsRefresh(server: BackendServerDescription): boolean {
        const cached = this.reportsById.get(server.id);
        return cached === undefined || cached.incarnation !== server.incarnation
            || cached.unreachableSince !== undefined
            || monotonicNow() - cached.readAt >= maximumHoldingsAgeMilliseconds;
    }

    private isUsable(cached: CachedReport, server: BackendServerDescription): boolean {
        return cached.incarnation === server.incarnation
            && (cached.unreachableSince === undefined
                || monotonicNow() - cached.unreachableSince < unreachableGraceMilliseconds);
    }
}
