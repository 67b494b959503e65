/** Errors of pushing and reading configuration versions. */
import type { VersionRecord } from "../domain/configuration-record.js";
import type { RowDifference } from "../domain/sheet-difference.js";
import { defineError, PomelostallError } from "./pomelostall-error.js";

const pushConflictDefinition = defineError({
    code: "push-conflict",
    title: "Another push was accepted first",
    hint: "Show the accepted version with 'pomelostall sheet show', merge the rows that differ, and push again.",
    status: 409,
});

/** The push was refused because another push created the version first. */
export class PushConflictError extends PomelostallError {
    constructor(
        /** The version that was accepted instead. */
        readonly winner: VersionRecord,
        /** Row changes from the accepted sheet to the refused sheet. */
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
    title: "The push's outcome is unknown",
    hint:
        "When the platform responds again, look in 'pomelostall sheet history' for the push ID that the message names.",
    status: 504,
});

/** The platform responded in time neither to the push nor to the query for its outcome. */
export class PushUnsettledError extends PomelostallError {
    constructor(readonly pushId: string, readonly version: number, cause: unknown) {
        super(pushUnsettledDefinition, `Push ${pushId} of version ${version} may have been accepted.`, { cause });
    }
}

const versionNotFoundDefinition = defineError({
    code: "version-not-found",
    title: "The version is not stored",
    hint: "Run 'pomelostall sheet history' to see the stored versions.",
    status: 404,
});

/** The version never existed, or was deleted because of its age. */
export class VersionNotFoundError extends PomelostallError {
    constructor(version: number) {
        super(versionNotFoundDefinition, `Version ${version} does not exist or was deleted because of its age.`);
    }
}

const versionCorruptDefinition = defineError({
    code: "version-corrupt",
    title: "A stored version cannot be read",
    hint: "Push the sheet again. The routers keep the version that they have in force.",
});

/** Stored bytes cannot be decoded or do not match their record. */
export class VersionCorruptError extends PomelostallError {
    constructor(subject: string, cause?: unknown) {
        super(versionCorruptDefinition, `${subject} cannot be read.`, { cause });
    }
}
