/** Errors of operators' commands and of the operator interface. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const operatorUnreachableDefinition = defineError({
    code: "operator-interface-unreachable",
    title: "The router's operator interface cannot be reached",
    hint: "Check the address in --router or POMELOSTALL_OPERATOR, and that the router is running.",
});

/** No router responded at the given address. */
export class OperatorUnreachableError extends PomelostallError {
    constructor(address: string, cause: unknown) {
        super(operatorUnreachableDefinition, `No router responds at ${address}.`, { cause });
    }
}

const operatorRefusedDefinition = defineError({
    code: "operator-call-refused",
    title: "The router rejected the operator's call",
    hint:
        "See the reason in the message. If access was denied, set POMELOSTALL_CREDENTIAL to the operators' credential.",
    status: 403,
});

/** The router responded with an error. */
export class OperatorRefusedError extends PomelostallError {
    constructor(message: string) {
        super(operatorRefusedDefinition, message);
    }
}

const operatorUnauthorizedDefinition = defineError({
    code: "operator-unauthorized",
    title: "The operators' credential is missing or wrong",
    hint: "Set POMELOSTALL_CREDENTIAL. If the settings name no credential, call from a loopback address.",
    status: 401,
});

/** An operator's call has no credential or a wrong one. */
export class OperatorUnauthorizedError extends PomelostallError {
    constructor() {
        super(operatorUnauthorizedDefinition, "The operators' credential is missing or wrong.");
    }
}

const operatorBadRequestDefinition = defineError({
    code: "operator-bad-request",
    title: "The operator's call is malformed",
    hint: "Use a pomelostall command of the same version as the router.",
    status: 400,
});

/** An operator's call names an unknown path, or has a malformed query or body. */
export class OperatorBadRequestError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(operatorBadRequestDefinition, message, { cause });
    }
}

const invalidCommandDefinition = defineError({
    code: "invalid-command",
    title: "The command's options are invalid",
    hint: "Run the command with --help to see its options.",
});

/** The command's options conflict with each other, or an option has an invalid value. */
export class InvalidCommandError extends PomelostallError {
    constructor(message: string) {
        super(invalidCommandDefinition, message);
    }
}
