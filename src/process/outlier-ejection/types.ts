/** Passive health checks: requests report the outcomes of their attempts and avoid ejected backend servers. */

export interface BackendServerHealth {
    /** Returns the IDs of the backend servers that currently get no new work. */
    ejected(): ReadonlySet<string>;
    /** Records that the backend server completed its part of an attempt. */
    recordSuccess(backendServer: string): void;
    /** Records that the backend server caused an attempt to fail. */
    recordFailure(backendServer: string, reason: string): void;
    /** Records that the backend server refused new work because it is draining. */
    recordDraining(backendServer: string): void;
}
