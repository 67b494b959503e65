/** IPC messages between the processes of the `path` benchmark. */

export interface ServerAddress {
    readonly id: string;
    readonly address: string;
}

export interface EnginesReady {
    readonly servers: readonly ServerAddress[];
}

export interface RouterReady {
    readonly address: string;
}

/** CPU time that the router process has used since its start, and its current heap. */
export interface RouterUsage {
    readonly cpuSeconds: number;
    readonly heapBytes: number;
}
