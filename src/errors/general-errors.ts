/** Errors that are not specific to one area. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const internalErrorDefinition = defineError({
    code: "internal-error",
    title: "An internal invariant was violated",
    hint: "This is a defect in pomelostall. Report it with the request ID and the log lines around it.",
    status: 500,
});

/** An invariant of the program does not hold. */
export class InternalError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(internalErrorDefinition, message, { cause });
    }
}

const invalidPlanDefinition = defineError({
    code: "invalid-plan",
    title: "A pipeline plan does not cover each layer of the model exactly once, in order",
    hint: "This is a defect in pomelostall's pipeline choice. Report it with the log lines around it.",
    status: 500,
});

/** The stages of a plan omit, repeat or reorder layers. */
export class InvalidPlanError extends PomelostallError {
    constructor(planId: string, reason: string) {
        super(invalidPlanDefinition, `Pipeline plan ${planId} is invalid: ${reason}.`);
    }
}
