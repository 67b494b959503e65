/**
 * Outlier ejection: a backend server with several consecutive failures gets no new work for a period that doubles with
 * each ejection, up to a maximum. Only a limited share of a pool can be ejected at once, because failures of more
 * servers than that rarely have their cause in the servers themselves.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { BackendServerHealth } from "./types.js";

export interface OutlierEjectionSettings {
    readonly consecutiveFailures: number;
    readonly baseEjectionMilliseconds: number;
    readonly maximumEjectionMilliseconds: number;
    /** Maximum share of a pool that may be ejected at once, from 0 to 1. */
    readonly maximumEjectedShare: number;
}

export const defaultOutlierEjectionSettings: OutlierEjectionSettings = {
    consecutiveFailures: 3,
    baseEjectionMilliseconds: 5_000,
    maximumEjectionMilliseconds: 120_000,
    maximumEjectedShare: 0.4,
};

/** Groups backend servers into pools of interchangeable servers. */
export interface BackendServerPools {
    /** Returns the IDs of all members of the backend server's pool, including its own. */
    poolOf(backendServer: string): readonly string[];
}

interface EjectionState {
    consecutiveFailures: number;
    ejectionCount: number;
    /** Monotonic milliseconds; 0 when not ejected. */
    ejectedUntil: number;
}

export class OutlierEjection implements BackendServerHealth {
    private readonly states = new Map<string, EjectionState>();
    private ejectedServers: ReadonlySet<string> = new Set();
    private nextExpiry = Infinity;

    /** `onDraining` is called with the ID of each backend server that refused work because it is draining. */
    constructor(
        private readonly pools: BackendServerPools,
        private readonly onDraining: (backendServer: string) => void,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
        private readonly settings: OutlierEjectionSettings = defaultOutlierEjectionSettings,
    ) {}

    ejected(): ReadonlySet<string> {
        if (monotonicNow() >= this.nextExpiry) {
            this.refresh();
        }
        return this.ejectedServers;
    }

    recordSuccess(backendServer: string): void {
        const state = this.states.get(backendServer);
        if (state !== undefined && state.ejectedUntil <= monotonicNow()) {
            this.states.delete(backendServer);
        }
    }

    recordFailure(backendServer: string, reason: string): void {
        const state = this.states.get(backendServer) ?? { consecutiveFailures: 0, ejectionCount: 0, ejectedUntil: 0 };
        this.states.set(backendServer, state);
        state.consecutiveFailures++;
        this.metrics.increment("pomelostall.backend_server.failures", 1, { reason });
        const alreadyEjected = state.ejectedUntil > monotonicNow();
        if (state.consecutiveFailures >= this.settings.consecutiveFailures && !alreadyEjected) {
            this.tryEject(backendServer, state, reason);
        }
    }

    recordDraining(backendServer: string): void {
        this.onDraining(backendServer);
    }

    /** Discards the failure history of a backend server that no longer exists, and ends its ejection. */
    forget(backendServer: string): void {
        this.states.delete(backendServer);
        this.refresh();
    }

    private tryEject(backendServer: string, state: EjectionState, reason: string): void {
        const pool = this.pools.poolOf(backendServer);
        const ejected = this.ejected();
        const ejectedInPool = pool.filter(member => ejected.has(member)).length;
        if (ejectedInPool + 1 > pool.length * this.settings.maximumEjectedShare) {
            this.metrics.increment("pomelostall.backend_server.ejections_capped");
            return;
        }
        const { baseEjectionMilliseconds, maximumEjectionMilliseconds } = this.settings;
        const ejectionMilliseconds = Math.min(
            maximumEjectionMilliseconds,
            baseEjectionMilliseconds * 2 ** state.ejectionCount,
        );
        state.ejectionCount++;
        state.ejectedUntil = monotonicNow() + ejectionMilliseconds;
        // After the ejection ends, a single failure ejects the server again.
        state.consecutiveFailures = this.settings.consecutiveFailures - 1;
        this.refresh();
        this.metrics.increment("pomelostall.backend_server.ejections");
        this.logger.warn(
            "ejected backend server after consecutive failures; sending it no new work until the ejection ends",
            {
                backendServer,
                reason,
                milliseconds: ejectionMilliseconds,
            },
        );
    }

    private refresh(): void {
        const now = monotonicNow();
        const ejected = [...this.states].filter(([, state]) => state.ejectedUntil > now);
        this.ejectedServers = new Set(ejected.map(([backendServer]) => backendServer));
        this.nextExpiry = Math.min(Infinity, ...ejected.map(([, state]) => state.ejectedUntil));
    }
}
