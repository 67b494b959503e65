/** The switches by which a test makes the stand-in platform misbehave. */

export const Availability = {
    up: "up",
    /** Connections are refused. */
    refusing: "refusing",
    /** Calls are taken and never answered; they have no effect. */
    hanging: "hanging",
} as const;
export type Availability = typeof Availability[keyof typeof Availability];

/** Faults that can change at any time. */
export interface PlatformFaults {
    availability: Availability;
    /** Time of each call; a write takes effect after half of it. */
    latencyMilliseconds: number;
    /** Writes yet to come whose answers are lost after they took effect. */
    loseAnswers: number;
    /** New watches receive nothing. Open ones are silenced by StandInPlatform.silenceOpenWatches. */
    silentWatches: boolean;
    /** Reads come from the data as StandInPlatform.rememberData last saw it. */
    olderData: boolean;
    /** Age of the VM list, in milliseconds. */
    vmListLagMilliseconds: number;
}

export function createFaults(): PlatformFaults {
    return {
        availability: Availability.up,
        latencyMilliseconds: 0,
        loseAnswers: 0,
        silentWatches: false,
        olderData: false,
        vmListLagMilliseconds: 0,
    };
}
