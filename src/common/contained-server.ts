/** HTTP servers on which a failure of a handler closes the connection of its request, and affects no other. */
import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import type { FailureReporter } from "./failure-boundary.js";

export type RequestHandler = (message: IncomingMessage, response: ServerResponse) => unknown;

/** `work` names the handler's work in the log and in the metric of contained failures. */
export function createContainedServer(
    work: string,
    failures: FailureReporter,
    handle: RequestHandler,
    options: ServerOptions = {},
): Server {
    // The only place that passes a handler to the runtime's server.
    // eslint-disable-next-line no-restricted-syntax
    return createServer(
        options,
        (message, response) =>
            failures.createBoundary(work, () => response.destroy()).run(() => handle(message, response)),
    );
}
