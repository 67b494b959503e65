/** Errors of placement. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const orderNotSentDefinition = defineError({
    code: "order-not-sent",
    title: "An order was not sent because the placement lease is not held for long enough",
    hint: "The router that holds the lease goes on with the placement. Nothing needs to be done.",
});

/** The holder's lease is lost or too close to its end for another order. */
export class OrderNotSentError extends PomelostallError {
    constructor(backendServer: string) {
        super(orderNotSentDefinition, `The order for ${backendServer} was not sent: the placement lease is not held.`);
    }
}

const orderTimeoutDefinition = defineError({
    code: "order-timeout",
    title: "A backend server did not answer an order in time",
    hint: "What the backend server holds is read back, and the placement is planned anew.",
});

/** No answer to an order within its deadline. */
export class OrderTimeoutError extends PomelostallError {
    constructor(backendServer: string, milliseconds: number) {
        super(orderTimeoutDefinition, `${backendServer} did not answer an order in ${milliseconds} ms.`);
    }
}

const placementUnknownDefinition = defineError({
    code: "placement-unknown",
    title: "No router holds the placement lease, or it has not planned yet",
    hint: "Try again in a few seconds. While the platform is down, nothing is ordered and routing goes on.",
});

/** No router could say what the placement is. */
export class PlacementUnknownError extends PomelostallError {
    constructor(router: string) {
        super(placementUnknownDefinition, `${router} knows of no placement.`);
    }
}

const unknownPlacementSubjectDefinition = defineError({
    code: "unknown-placement-subject",
    title: "The placement names no such model or backend server",
    hint: "'pomelostall placement show' lists the names.",
});

/** A name that is neither a model nor a backend server of the placement. */
export class UnknownPlacementSubjectError extends PomelostallError {
    constructor(name: string) {
        super(unknownPlacementSubjectDefinition, `${name} is neither a model nor a backend server of the placement.`);
    }
}
