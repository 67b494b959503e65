/** The links to all backend servers, one each. */
import type { BackendServerConnection, BackendServerConnections } from "../../domain/backend-connection.js";
import { HttpBackendServerConnection, type HttpConnectionParts } from "./http-connection.js";

interface KnownConnection {
    readonly address: string;
    readonly connection: BackendServerConnection;
}

export class HttpBackendServerConnections implements BackendServerConnections {
    private readonly connections = new Map<string, KnownConnection>();

    constructor(private readonly parts: HttpConnectionParts) {}

    /** The link to a backend server. A backend server that has moved gets a new one. */
    get(backendServer: string, address: string): BackendServerConnection {
        const known = this.connections.get(backendServer);
        if (known?.address === address) {
            return known.connection;
        }
        known?.connection.close();
        const connection = new HttpBackendServerConnection(backendServer, address, this.parts);
        this.connections.set(backendServer, { address, connection });
        return connection;
    }

    /** Closes the links to backend servers that are not among those given. */
    retain(backendServers: ReadonlySet<string>): void {
        for (const [backendServer, known] of this.connections) {
            if (!backendServers.has(backendServer)) {
                this.connections.delete(backendServer);
                known.connection.close();
            }
        }
    }

    close(): void {
        this.retain(new Set());
    }
}
