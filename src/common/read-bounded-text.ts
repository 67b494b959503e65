/** Reads the body of an HTTP message from another process, which may send bytes without end. */
import { ResponseTooLargeError } from "../errors/index.js";

/**
 * Decodes the chunks as UTF-8. Rejects with ResponseTooLargeError above the maximum size, which closes a stream's
 * connection, or with the error of the stream.
 */
export async function readBoundedText(stream: AsyncIterable<unknown>, maximumBytes: number): Promise<string> {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    for await (const chunk of stream as AsyncIterable<Buffer>) {
        receivedBytes += chunk.length;
        if (receivedBytes > maximumBytes) {
            throw new ResponseTooLargeError(maximumBytes);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
