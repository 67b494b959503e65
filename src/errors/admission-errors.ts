/** Errors of requests that end while they wait for admission. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const callerGoneDefinition = defineError({
    code: "caller-gone",
    title: "The caller disconnected",
    hint: "The request did not run. Send it again if it is still needed.",
    status: 499,
});

/** The caller closed its connection before the request was admitted. */
export class CallerGoneError extends PomelostallError {
    constructor() {
        super(callerGoneDefinition, "The caller disconnected before the request was admitted.", {
            outcome: Outcome.notRun,
        });
    }
}
