/** Outlier ejection that also tells the registry of lost backend servers at once. */
import type { BackendServerRegistry } from "../process/backend-servers/backend-server-registry.js";
import type { OutlierEjection } from "../process/outlier-ejection/outlier-ejection.js";
import type { BackendServerHealth } from "../process/outlier-ejection/types.js";

/** How requests name the failure of a server that answers and makes no progress. */
const stalledReason = "stalled";

export class RegistryReportingHealth implements BackendServerHealth {
    constructor(private readonly ejection: OutlierEjection, private readonly registry: BackendServerRegistry) {}

    ejected(): ReadonlySet<string> {
        return this.ejection.ejected();
    }

    succeeded(backendServer: string): void {
        this.ejection.succeeded(backendServer);
    }

    /** A stalled server still answers, so that it is not reported as unreachable. */
    failed(backendServer: string, reason: string): void {
        this.ejection.failed(backendServer, reason);
        if (reason !== stalledReason) {
            this.registry.reportUnreachable(backendServer);
        }
    }

    draining(backendServer: string): void {
        this.ejection.draining(backendServer);
    }
}
