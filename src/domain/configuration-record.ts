/** Metadata that is stored with the sheet of an accepted configuration version. */

/** Author, time and parent of a version. */
export interface VersionRecord {
    readonly version: number;
    /** Unique ID of the push; a push that received no response finds its own write by this ID. */
    readonly pushId: string;
    /** The version that this version replaced. */
    readonly parent: number;
    readonly author: string;
    /** ISO 8601, from the wall clock of the machine that pushed the version. */
    readonly acceptedAt: string;
}
