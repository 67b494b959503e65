/** Reads the body of an HTTP message from another process, which may send bytes without end. */
import { ResponseTooLargeError } from "../errors/index.js";
import { ByteCollector } from "./byte-collector.js";
import type { MemoryAccount } from "./memory-ledger.js";

/**
 * Decodes the chunks as UTF-8. Rejects with ResponseTooLargeError above the maximum size and with MemoryShortageError if the
 * account has no room, which closes a stream's connection, or with the error of the stream.
 */
export async function readBoundedText(
    stream: AsyncIterable<unknown>,
    maximumBytes: number,
    account?: MemoryAccount,
): Promise<string> {
    const collector = new ByteCollector(account);
    try {
        for await (const chunk of stream as AsyncIterable<Buffer>) {
            if (collector.bytes + chunk.length > maximumBytes) {
                throw new ResponseTooLargeError(maximumBytes);
            }
            collector.append(chunk);
        }
        return collector.take().toString("utf8");
    }
    finally {
        collector.release();
    }
}
