/** Faults that tests inject into the stand-in platform. */

export const Availability = {
    up: "up",
    /** Connections are refused. */
    refusing: "refusing",
    /** Calls are accepted but never answered, and have no effect. */
    hanging: "hanging",
} as const;
export type Availability = typeof Availability[keyof typeof Availability];

/** Active faults of one client; each can be changed at any time. */
export interface PlatformFaults {
    availability: Availability;
    /** Round-trip time of each call; a write takes effect after half of it. */
    latencyMilliseconds: number;
    /** Number of subsequent writes that take effect but whose responses are lost. */
    responsesToLose: number;
    /** New watches receive no events. StandInPlatform.silenceOpenWatches silences those that are already open. */
    silentWatches: boolean;
    /** Reads return the snapshot that StandInPlatform took for this fault, instead of the current data. */
    staleReads: boolean;
    /** Delay after which a change of the VM list becomes visible. */
    vmListLagMilliseconds: number;
}

export function createFaults(): PlatformFaults {
    return {
        availability: Availability.up,
        latencyMilliseconds: 0,
        responsesToLose: 0,
        silentWatches: false,
        staleReads: false,
        vmListLagMilliseconds: 0,
    };
}
