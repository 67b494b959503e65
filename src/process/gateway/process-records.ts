/**
 * Records of routers' processes in the platform's store: whether the process had settled, the era of the store in which the
 * record was written, and the configuration version that was in force then.
 */

const settledState = "settled";
const newState = "new";
const recordPattern = /^(settled|new)(?: (\d{1,15}) (\d{1,15}))?$/;

export interface ProcessRecord {
    /** Whether the process had run for longer than the window of the retry budget. */
    readonly settled: boolean;
    readonly era: number;
    /** 0 if none was in force. */
    readonly configurationVersion: number;
}

/** What the store holds of the routers' processes. */
export interface ProcessRecords {
    readonly fleetHasStarted: boolean;
    /** By the router's name. */
    readonly byRouter: ReadonlyMap<string, ProcessRecord>;
}

export function encodeProcessRecord({ settled, era, configurationVersion }: ProcessRecord): Buffer {
    return Buffer.from(`${settled ? settledState : newState} ${era} ${configurationVersion}`);
}

/** Undefined for a value that no router wrote. Earlier versions wrote the state alone. */
export function decodeProcessRecord(value: Buffer): ProcessRecord | undefined {
    const match = recordPattern.exec(value.toString("utf8"));
    return match === null ? undefined : {
        settled: match[1] === settledState,
        era: Number(match[2] ?? 0),
        configurationVersion: Number(match[3] ?? 0),
    };
}
