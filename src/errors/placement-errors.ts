/** Errors of placing models on backend servers. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const orderNotSentDefinition = defineError({
    code: "order-not-sent",
    title: "An order was not sent because the placement lease is lost or about to expire",
    hint: "The router that holds the lease continues the placement. No action is needed.",
});

/** The router's placement lease is lost, or expires too soon to send another order. */
export class OrderNotSentError extends PomelostallError {
    constructor(backendServer: string) {
        super(
            orderNotSentDefinition,
            `The order to ${backendServer} was not sent: the placement lease is lost or about to expire.`,
        );
    }
}

const orderTimeoutDefinition = defineError({
    code: "order-timeout",
    title: "A backend server did not respond to an order in time",
    hint: "The router reads the backend server's holdings again and makes a new placement plan. No action is needed.",
});

/** A backend server did not respond to an order before the order's deadline. */
export class OrderTimeoutError extends PomelostallError {
    constructor(backendServer: string, milliseconds: number) {
        super(
            orderTimeoutDefinition,
            `Backend server ${backendServer} did not respond to an order within ${milliseconds} ms.`,
        );
    }
}

const placementUnknownDefinition = defineError({
    code: "placement-unknown",
    title: "No router holds the placement lease, or its holder has no placement plan yet",
    hint: "Try again in a few seconds. While the platform is down, no orders are sent and routing continues.",
});

/** Neither the router that was asked nor the lease holder that it names has a placement plan. */
export class PlacementUnknownError extends PomelostallError {
    constructor(router: string) {
        super(placementUnknownDefinition, `Router ${router} has no placement to report.`);
    }
}

const unknownPlacementSubjectDefinition = defineError({
    code: "unknown-placement-subject",
    title: "The placement contains no such model or backend server",
    hint: "Run 'pomelostall placement show' to see the names.",
});

/** The name is neither a model nor a backend server of the placement. */
export class UnknownPlacementSubjectError extends PomelostallError {
    constructor(name: string) {
        super(unknownPlacementSubjectDefinition, `'${name}' is neither a model nor a backend server of the placement.`);
    }
}
