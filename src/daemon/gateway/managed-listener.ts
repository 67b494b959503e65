/** Wraps an HTTP server as a component that the life cycle starts and stops. */
import type { Server } from "node:http";
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { SocketAddress } from "../../domain/gateway/server-entry.js";

export function createManagedListener(
    name: string,
    server: Server,
    address: SocketAddress,
    failures: FailureReporter,
): ManagedComponent {
    return {
        name,
        start: () =>
            new Promise<void>((resolve, reject) => {
                const boundary = failures.createBoundary(name, reject);
                // Reported for as long as the server listens: the runtime ends the process for one without a listener.
                server.on(
                    "error",
                    boundary.wrap((error: Error) => {
                        throw error;
                    }),
                );
                server.listen(address.port, address.host, resolve);
            }),
        stop: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
