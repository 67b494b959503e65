/** What requests tell of backend servers' health, and what they ask of it. */

export interface BackendServerHealth {
    /** Backend servers that get no new work for now. */
    ejected(): ReadonlySet<string>;
    /** The backend server did its part of an attempt. */
    recordSuccess(backendServer: string): void;
    /** An attempt failed by the backend server's fault. */
    recordFailure(backendServer: string, reason: string): void;
    /** The backend server said that it takes no new work. */
    recordDraining(backendServer: string): void;
}
