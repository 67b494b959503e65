/** Outlier ejection that also reports unreachable backend servers to the registry immediately. */
import type { BackendServerRegistry } from "../process/backend-servers/backend-server-registry.js";
import type { OutlierEjection } from "../process/outlier-ejection/outlier-ejection.js";
import type { BackendServerHealth } from "../process/outlier-ejection/types.js";

/** Failure reason of requests to a server that responds but makes no progress. */
const stalledReason = "stalled";

export class RegistryReportingHealth implements BackendServerHealth {
    constructor(private readonly ejection: OutlierEjection, private readonly registry: BackendServerRegistry) {}

    ejected(): ReadonlySet<string> {
        return this.ejection.ejected();
    }

    recordSuccess(backendServer: string): void {
        this.ejection.recordSuccess(backendServer);
    }

    /** A stalled server still responds, so it is not reported as unreachable. */
    recordFailure(backendServer: string, reason: string): void {
        this.ejection.recordFailure(backendServer, reason);
        if (reason !== stalledReason) {
            this.registry.reportUnreachable(backendServer);
        }
    }

    recordDraining(backendServer: string): void {
        this.ejection.recordDraining(backendServer);
    }
}
