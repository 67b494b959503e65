/** Errors that operators' commands report. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const operatorUnreachableDefinition = defineError({
    code: "operator-interface-unreachable",
    title: "The router's operator interface cannot be reached",
    hint: "Check --router or POMELOSTALL_OPERATOR, and that the router is running.",
});

/** No router answered at the given address. */
export class OperatorUnreachableError extends PomelostallError {
    constructor(address: string, cause: unknown) {
        super(operatorUnreachableDefinition, `No router answers at ${address}.`, { cause });
    }
}

const operatorRefusedDefinition = defineError({
    code: "operator-call-refused",
    title: "The router refused the call",
    hint: "Set POMELOSTALL_CREDENTIAL to the operators' credential; the message says what else was wrong.",
    status: 403,
});

/** The router answered with a failure. */
export class OperatorRefusedError extends PomelostallError {
    constructor(message: string) {
        super(operatorRefusedDefinition, message);
    }
}
