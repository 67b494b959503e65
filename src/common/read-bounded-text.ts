/** Reads the body of an HTTP message from another router. */
import type { IncomingMessage } from "node:http";
import { BodyTooLargeError } from "../../errors/index.js";

/** Fits a store snapshot: the configuration of 1 MB and some hundred small values, all base64-encoded. */
const maximumBytes = 4_000_000;

/** Rejects with BodyTooLargeError above the maximum size, or with the connection's error. */
export async function readBodyText(message: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    for await (const chunk of message) {
        receivedBytes += (chunk as Buffer).length;
        if (receivedBytes > maximumBytes) {
            throw new BodyTooLargeError(maximumBytes);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}
