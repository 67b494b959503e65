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

const operatorUnauthorizedDefinition = defineError({
    code: "operator-unauthorized",
    title: "The operators' credential is missing or wrong",
    hint: "Set POMELOSTALL_CREDENTIAL, or call from loopback when the settings name no credential.",
    status: 401,
});

/** An operator's call without the right credential. */
export class OperatorUnauthorizedError extends PomelostallError {
    constructor() {
        super(operatorUnauthorizedDefinition, "The operators' credential is missing or wrong.");
    }
}

const operatorBadRequestDefinition = defineError({
    code: "operator-bad-request",
    title: "The operator's call is malformed",
    hint: "Use the pomelostall command of the same version as the router.",
    status: 400,
});

/** An operator's call to an unknown path or with a malformed body. */
export class OperatorBadRequestError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(operatorBadRequestDefinition, message, { cause });
    }
}

const invalidCommandDefinition = defineError({
    code: "invalid-command",
    title: "The command cannot be carried out as given",
    hint: "See the command's --help.",
});

/** Options that do not fit each other or what they name. */
export class InvalidCommandError extends PomelostallError {
    constructor(message: string) {
        super(invalidCommandDefinition, message);
    }
}
