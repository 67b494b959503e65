/** Messages between the processes of the `path` benchmark. */

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

/** Processor time of the router's process so far. */
export interface RouterUsage {
    readonly processorSeconds: number;
    readonly heapBytes: number;
}
