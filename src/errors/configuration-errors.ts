/** Errors of pushing and reading versions of the configuration. */
import type { VersionRecord } from "../domain/configuration-record.js";
import type { RowDifference } from "../domain/sheet-difference.js";
import { defineError, PomelostallError } from "./pomelostall-error.js";

const pushConflictDefinition = defineError({
    code: "push-conflict",
    title: "Another push was accepted first",
    hint: "Read the winner with 'pomelostall sheet show', merge the rows that differ, and push again.",
    status: 409,
});

/** The push was not accepted: another version has taken its place. */
export class PushConflictError extends PomelostallError {
    constructor(
        readonly winner: VersionRecord,
        /** From the winner's sheet to the refused one. */
        readonly differences: readonly RowDifference[],
    ) {
        super(
            pushConflictDefinition,
            `Version ${winner.version} by ${winner.author} was accepted at ${winner.acceptedAt}; `
                + `${differences.length} row(s) differ from the refused sheet.`,
        );
    }
}

const pushUnsettledDefinition = defineError({
    code: "push-unsettled",
    title: "It is not known whether the push was accepted",
    hint: "Run 'pomelostall sheet history' once the platform answers, and look for the push ID in the message.",
    status: 504,
});

/** The platform did not answer in time, neither to the push nor when asked what became of it. */
export class PushUnsettledError extends PomelostallError {
    constructor(readonly pushId: string, readonly version: number, cause: unknown) {
        super(pushUnsettledDefinition, `Push ${pushId} of version ${version} may have been accepted.`, { cause });
    }
}

const versionNotFoundDefinition = defineError({
    code: "version-not-found",
    title: "The version is not kept",
    hint: "See 'pomelostall sheet history' for the versions that are kept.",
    status: 404,
});

/** A version that never was, or was removed for its age. */
export class VersionNotFoundError extends PomelostallError {
    constructor(version: number) {
        super(versionNotFoundDefinition, `Version ${version} is not kept.`);
    }
}

const versionCorruptDefinition = defineError({
    code: "version-corrupt",
    title: "A stored version cannot be read",
    hint: "Push the sheet again. The routers keep what they have in force.",
});

/** Stored bytes that do not match their record. */
export class VersionCorruptError extends PomelostallError {
    constructor(what: string, cause?: unknown) {
        super(versionCorruptDefinition, `${what} cannot be read.`, { cause });
    }
}
