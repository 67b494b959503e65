/** Starts and stops an HTTP server as a part of the life cycle. */
import type { Server } from "node:http";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { SocketAddress } from "../../domain/gateway/server-entry.js";

export function listening(name: string, server: Server, address: SocketAddress): ManagedComponent {
    return {
        name,
        start: () =>
            new Promise<void>((resolve, reject) => {
                server.once("error", reject);
                server.listen(address.port, address.host, () => {
                    server.off("error", reject);
                    resolve();
                });
            }),
        stop: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
