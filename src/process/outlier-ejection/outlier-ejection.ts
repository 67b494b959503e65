/**
 * Outlier ejection: a backend server that fails several times in a row gets no new work for a time that grows with each
 * ejection. At most a share of a pool is ejected at once: when more fails, the fault is seldom the servers' own.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { BackendServerHealth } from "./types.js";

export interface OutlierEjectionSettings {
    readonly consecutiveFailures: number;
    readonly baseEjectionMilliseconds: number;
    readonly maximumEjectionMilliseconds: number;
    /** The largest share of a pool that may be ejected at once. */
    readonly maximumEjectedShare: number;
}

export const defaultOutlierEjectionSettings: OutlierEjectionSettings = {
    consecutiveFailures: 3,
    baseEjectionMilliseconds: 5_000,
    maximumEjectionMilliseconds: 120_000,
    maximumEjectedShare: 0.4,
};

/** The backend servers that can stand in for one another. */
export interface BackendServerPools {
    /** Members of the pool to which the backend server belongs, itself included. */
    poolOf(backendServer: string): readonly string[];
}

interface ServerRecord {
    consecutiveFailures: number;
    ejections: number;
    /** Monotonic milliseconds; 0 when not ejected. */
    ejectedUntil: number;
}

export class OutlierEjection implements BackendServerHealth {
    private readonly records = new Map<string, ServerRecord>();
    private ejectedServers: ReadonlySet<string> = new Set();
    private nextReturn = Infinity;

    /** `onDraining` is told of each backend server that refused work because it is leaving. */
    constructor(
        private readonly pools: BackendServerPools,
        private readonly onDraining: (backendServer: string) => void,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
        private readonly settings: OutlierEjectionSettings = defaultOutlierEjectionSettings,
    ) {}

    ejected(): ReadonlySet<string> {
        if (monotonicNow() >= this.nextReturn) {
            this.refresh();
        }
        return this.ejectedServers;
    }

    recordSuccess(backendServer: string): void {
        const record = this.records.get(backendServer);
        if (record !== undefined && record.ejectedUntil <= monotonicNow()) {
            this.records.delete(backendServer);
        }
    }

    recordFailure(backendServer: string, reason: string): void {
        const record = this.records.get(backendServer) ?? { consecutiveFailures: 0, ejections: 0, ejectedUntil: 0 };
        this.records.set(backendServer, record);
        record.consecutiveFailures++;
        this.metrics.increment("pomelostall.backend_server.failures", 1, { reason });
        const alreadyEjected = record.ejectedUntil > monotonicNow();
        if (record.consecutiveFailures >= this.settings.consecutiveFailures && !alreadyEjected) {
            this.tryEject(backendServer, record, reason);
        }
    }

    recordDraining(backendServer: string): void {
        this.onDraining(backendServer);
    }

    /** Drops what is known of backend servers that are gone. */
    forget(backendServer: string): void {
        this.records.delete(backendServer);
        this.refresh();
    }

    private tryEject(backendServer: string, record: ServerRecord, reason: string): void {
        const pool = this.pools.poolOf(backendServer);
        const ejected = this.ejected();
        const ejectedInPool = pool.filter(member => ejected.has(member)).length;
        if (ejectedInPool + 1 > pool.length * this.settings.maximumEjectedShare) {
            this.metrics.increment("pomelostall.backend_server.ejections_capped");
            return;
        }
        const { baseEjectionMilliseconds, maximumEjectionMilliseconds } = this.settings;
        const duration = Math.min(maximumEjectionMilliseconds, baseEjectionMilliseconds * 2 ** record.ejections);
        record.ejections++;
        record.ejectedUntil = monotonicNow() + duration;
        // One more failure after its return ejects it again.
        record.consecutiveFailures = this.settings.consecutiveFailures - 1;
        this.refresh();
        this.metrics.increment("pomelostall.backend_server.ejections");
        this.logger.warn("ejected a backend server", { backendServer, reason, milliseconds: duration });
    }

    private refresh(): void {
        const now = monotonicNow();
        const ejected = [...this.records].filter(([, record]) => record.ejectedUntil > now);
        this.ejectedServers = new Set(ejected.map(([backendServer]) => backendServer));
        this.nextReturn = Math.min(Infinity, ...ejected.map(([, record]) => record.ejectedUntil));
    }
}
