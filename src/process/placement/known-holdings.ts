/**
 * What each backend server was last read to hold. A server is read when it is new, when it restarted and when its last
 * reading is old; one that does not answer is believed for a short while and then left out.
 */
import { monotonicNow } from "../../common/clock.js";
import type { BackendServerDescription } from "../../domain/backend-server.js";
import type { HoldingsReport } from "../../domain/engine-protocol.js";
import { holdingsAgeMilliseconds, maximumConcurrentOrders, unreachableGraceMilliseconds } from "./constants.js";
import type { PlacementServer } from "./types.js";

interface Reading {
    readonly incarnation: number;
    readonly report: HoldingsReport;
    readonly readAt: number;
    /** Set while the server does not answer. */
    failedSince: number | undefined;
}

/** Reads one backend server's holdings; undefined when it does not answer. */
export type HoldingsReader = (server: BackendServerDescription) => Promise<HoldingsReport | undefined>;

export class KnownHoldings {
    private readonly readings = new Map<string, Reading>();

    constructor(private readonly read: HoldingsReader) {}

    /** Forgets everything, so that all is read anew; for a new holder. */
    clear(): void {
        this.readings.clear();
    }

    /** The highest fencing number that any backend server has seen. */
    get highestFencingNumber(): number {
        let highest = 0;
        for (const { report } of this.readings.values()) {
            highest = Math.max(highest, report.fencingNumber);
        }
        return highest;
    }

    /** Notes a reading, or that the server did not answer. */
    note(server: BackendServerDescription, report: HoldingsReport | undefined): void {
        const now = monotonicNow();
        const known = this.readings.get(server.id);
        if (report !== undefined) {
            this.readings.set(server.id, {
                incarnation: server.incarnation,
                report,
                readAt: now,
                failedSince: undefined,
            });
        }
        else if (known !== undefined) {
            known.failedSince ??= now;
        }
    }

    /** Reads what has to be read and gives the servers that can be counted on. */
    async refresh(
        servers: readonly BackendServerDescription[],
        isLeaving: (id: string) => boolean,
    ): Promise<PlacementServer[]> {
        this.forgetOthers(servers);
        const toRead = servers.filter(server => this.needsReading(server));
        const readers = Array.from({ length: maximumConcurrentOrders }, async (_unused, first) => {
            for (let index = first; index < toRead.length; index += maximumConcurrentOrders) {
                const server = toRead[index]!;
                this.note(server, await this.read(server));
            }
        });
        await Promise.all(readers);
        return servers.flatMap(server => {
            const reading = this.readings.get(server.id);
            return reading === undefined || !this.isBelieved(reading, server) ? [] : [{
                description: server,
                holdings: reading.report.holdings,
                role: reading.report.role,
                draining: reading.report.draining || isLeaving(server.id),
            }];
        });
    }

    private forgetOthers(servers: readonly BackendServerDescription[]): void {
        const present = new Set(servers.map(server => server.id));
        for (const id of this.readings.keys()) {
            if (!present.has(id)) {
                this.readings.delete(id);
            }
        }
    }

    private needsReading(server: BackendServerDescription): boolean {
        const reading = this.readings.get(server.id);
        return reading === undefined || reading.incarnation !== server.incarnation
            || reading.failedSince !== undefined || monotonicNow() - reading.readAt >= holdingsAgeMilliseconds;
    }

    private isBelieved(reading: Reading, server: BackendServerDescription): boolean {
        return reading.incarnation === server.incarnation
            && (reading.failedSince === undefined
                || monotonicNow() - reading.failedSince < unreachableGraceMilliseconds);
    }
}
