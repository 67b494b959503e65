/** Reads the body of a message between routers. */
import type { IncomingMessage } from "node:http";
import { BodyTooLargeError } from "../../errors/index.js";

/** A snapshot of the store holds one value of 1 MB, the configuration, and some hundred small ones, as base64 text. */
const maximumBytes = 4_000_000;

/** Rejects with BodyTooLargeError, or with the connection's error. */
export async function readText(message: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of message) {
        bytes += (chunk as Buffer).length;
        if (bytes > maximumBytes) {
            throw new BodyTooLargeError(maximumBytes);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}
