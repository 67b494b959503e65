/** Reads the headers of callers' requests. */
import type { IncomingMessage } from "node:http";
import { type GatewayRoute, RouteKind } from "../../domain/gateway/configuration.js";
import { BadRequestError, HeadersTooLargeError } from "../../errors/index.js";
import { parseEventId } from "./event-sequence.js";

/** Bytes of the separators in a header line: a colon, a space and the line break (2 bytes). */
const headerLineOverheadBytes = 4;

/** Returns undefined if the header is missing. */
export function headerText({ headers }: IncomingMessage, name: string): string | undefined {
    return typeof headers[name] === "string" ? headers[name] : undefined;
}

/** Throws HeadersTooLargeError if the headers are larger than the configuration allows. */
export function checkHeaderBytes({ rawHeaders }: IncomingMessage, maximumBytes: number): void {
    const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0)
        + headerLineOverheadBytes * rawHeaders.length / 2;
    if (bytes > maximumBytes) {
        throw new HeadersTooLargeError(maximumBytes);
    }
}

/**
 * Returns the ID of the last event that the caller states to have of the route's stream; undefined if it states none.
 * Throws BadRequestError if it states what is no event's ID.
 */
export function readLastEventId(message: IncomingMessage, headerName: string, route: GatewayRoute): number | undefined {
    const text = headerText(message, headerName) ?? "";
    const id = parseEventId(text);
    if (id === undefined && text !== "" && route.kind === RouteKind.streaming) {
        throw new BadRequestError(`The header ${headerName} is not a whole number.`);
    }
    return id;
}
