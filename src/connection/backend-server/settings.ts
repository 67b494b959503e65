/** Settings of connections to backend servers. */

export interface BackendServerConnectionSettings {
    /** Silence timeout: an attempt or event stream fails after this time without a frame or heartbeat. */
    readonly silenceMilliseconds: number;
    readonly connectTimeoutMilliseconds: number;
    /** Lower and upper bound of the exponential backoff, before jitter, for reconnecting the event stream. */
    readonly reconnectMinimumMilliseconds: number;
    readonly reconnectMaximumMilliseconds: number;
    /** Longest line accepted in a response or event stream. */
    readonly maximumLineBytes: number;
    /** Bearer token sent with orders, for backend servers that check it. */
    readonly orderCredential?: string;
}

export const defaultBackendServerConnectionSettings: BackendServerConnectionSettings = {
    silenceMilliseconds: 1_000,
    connectTimeoutMilliseconds: 500,
    reconnectMinimumMilliseconds: 50,
    reconnectMaximumMilliseconds: 2_000,
    maximumLineBytes: 1_000_000,
};
