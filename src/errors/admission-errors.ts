/** Errors of requests that end while they wait. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const callerGoneDefinition = defineError({
    code: "caller-gone",
    title: "The caller went away",
    hint: "Nothing was run. Send the request again if it is still wanted.",
    status: 499,
});

/** The caller closed its connection before the request was admitted. */
export class CallerGoneError extends PomelostallError {
    constructor() {
        super(callerGoneDefinition, "The caller went away before the request ran.", { outcome: Outcome.notRun });
    }
}
