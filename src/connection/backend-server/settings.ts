/** Settings of links to backend servers. */

export interface BackendServerConnectionSettings {
    /** Time without a frame or heartbeat after which an attempt, or the events stream, is given up. */
    readonly silenceMilliseconds: number;
    readonly connectTimeoutMilliseconds: number;
    /** Shortest and longest wait before the events stream is opened again. */
    readonly reconnectMinimumMilliseconds: number;
    readonly reconnectMaximumMilliseconds: number;
    /** Longest line that is accepted. */
    readonly maximumLineBytes: number;
    /** Bearer credential of orders, for backend servers that check it. */
    readonly orderCredential?: string;
}

export const defaultBackendServerConnectionSettings: BackendServerConnectionSettings = {
    silenceMilliseconds: 1_000,
    connectTimeoutMilliseconds: 500,
    reconnectMinimumMilliseconds: 50,
    reconnectMaximumMilliseconds: 2_000,
    maximumLineBytes: 1_000_000,
};
