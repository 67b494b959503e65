/** Reads the headers of callers' requests. */
import type { IncomingMessage } from "node:http";
import { HeadersTooLargeError } from "../../errors/index.js";

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
