/** Connections to all backend servers, one for each. */
import type { BackendServerConnection, BackendServerConnections } from "../../domain/backend-connection.js";
import { HttpBackendServerConnection, type HttpConnectionDependencies } from "./http-connection.js";

interface CachedConnection {
    readonly address: string;
    readonly connection: BackendServerConnection;
}

export class HttpBackendServerConnections implements BackendServerConnections {
    private readonly connections = new Map<string, CachedConnection>();

    constructor(private readonly dependencies: HttpConnectionDependencies) {}

    /** Returns the connection to a backend server; replaces it if the address has changed. */
    get(backendServer: string, address: string): BackendServerConnection {
        const cached = this.connections.get(backendServer);
        if (cached?.address === address) {
            return cached.connection;
        }
        cached?.connection.close();
        const connection = new HttpBackendServerConnection(backendServer, address, this.dependencies);
        this.connections.set(backendServer, { address, connection });
        return connection;
    }

    /** Closes the connections to all backend servers that are not in the set. */
    retain(backendServers: ReadonlySet<string>): void {
        for (const [backendServer, cached] of this.connections) {
            if (!backendServers.has(backendServer)) {
                this.connections.delete(backendServer);
                cached.connection.close();
            }
        }
    }

    close(): void {
        this.retain(new Set());
    }
}
