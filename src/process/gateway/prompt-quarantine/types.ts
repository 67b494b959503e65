/** Evidence of crashes of backend servers and the decision about their cause. */

/** More than the headers of a request can name, so that no part of a prompt is left out. */
export const maximumPromptParts = 20_000;

/** A shared part of a prompt, with the successes that the witness had seen of it when the server crashed. */
export interface WitnessedPart {
    readonly id: string;
    readonly successes: number;
}

/** What one router saw of a crash: an attempt that broke off at the moment at which a backend server crashed. */
export interface CrashEvidence {
    /** Identifies one start of a backend server. */
    readonly serverStart: string;
    /** Identifies the process of the router that saw the attempt break off. */
    readonly witness: string;
    /** Shared parts of the attempt's prompt, in the prompt's order. */
    readonly parts: readonly WitnessedPart[];
    /** Whether the attempt had only begun: the server had not gone on for long after its first event. */
    readonly early: boolean;
    /** Monotonic time in milliseconds at which this router learnt of the crash. */
    readonly learntAt: number;
}

/** What this router has seen itself. */
export interface OwnAttempts {
    readonly witness: string;
    /** Successes of a part. */
    count(part: string): number;
    /** Share of the attempts of all prompts that ended with a crash of their server. */
    readonly crashShare: number;
}

/** A part that crashes backend servers, with the counts that say so. */
export interface CrashCause {
    readonly part: string;
    /** Crashes that no part with stronger evidence explains. */
    readonly crashes: number;
    readonly successes: number;
}

export interface CrashAttribution {
    /** Returns the parts that crash backend servers, with the strongest evidence first. `evidence` is in order of time. */
    findCauses(evidence: readonly CrashEvidence[], own: OwnAttempts): CrashCause[];
}
