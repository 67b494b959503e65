/** Errors that belong to no single area. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const internalDefinition = defineError({
    code: "internal-error",
    title: "An internal invariant was broken",
    hint: "This is a defect in pomelostall. Report it with the request ID and the log lines around it.",
    status: 500,
});

/** An invariant of the program itself does not hold. */
export class InternalError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(internalDefinition, message, { cause });
    }
}

const invalidPlanDefinition = defineError({
    code: "invalid-plan",
    title: "A pipeline plan does not tile the model's layers",
    hint: "This is a defect in pomelostall's pipeline choice. Report it with the log lines around it.",
    status: 500,
});

/** A plan whose stages leave out, repeat or reorder layers. */
export class InvalidPlanError extends PomelostallError {
    constructor(planId: string, reason: string) {
        super(invalidPlanDefinition, `Plan ${planId} is not valid: ${reason}.`);
    }
}
