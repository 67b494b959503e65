/** What is stored of an accepted version, beside the sheet itself. */

/** Who pushed a version, when, and over which one. */
export interface VersionRecord {
    readonly version: number;
    /** The push's own ID, by which a push whose answer was lost recognises its own write. */
    readonly pushId: string;
    readonly parent: number;
    readonly author: string;
    /** ISO 8601, on the pushing machine's wall clock. */
    readonly acceptedAt: string;
}
