/** Sends a request to a backend server and buffers its whole response, up to a maximum size. */
import { ByteCollector } from "../../common/byte-collector.js";
import type { MemoryLedger } from "../../common/memory-ledger.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailure, MemoryShortageError } from "../../errors/index.js";
import { Exchange, type ExchangeOptions, type ExchangeRequest, type ResponseHead } from "./exchange.js";
import { SmallChunkLimit } from "./small-chunk-limit.js";

export interface BufferedResponse {
    readonly head: ResponseHead;
    readonly body: Buffer;
}

export interface ReadResponseOptions extends ExchangeOptions {
    readonly maximumBytes: number;
    /**
     * Accounts for the response, also once it is complete, until its scope is closed. Undefined for small ones that only
     * the maximum limits.
     */
    readonly memory?: MemoryLedger | undefined;
}

/** Rejects with ConnectionFailedError if the exchange fails, the body exceeds the maximum size, or memory is short. */
export function readResponse(
    server: ServerEntry,
    request: ExchangeRequest,
    options: ReadResponseOptions,
): Promise<BufferedResponse> {
    return new Promise((resolve, reject) => {
        let head: ResponseHead | undefined;
        const account = options.memory?.open({
            kind: "response",
            owner: server.id,
            end: error => exchange.fail(ConnectionFailure.memory, error),
        });
        const body = new ByteCollector(account);
        const smallChunks = new SmallChunkLimit();
        const exchange = new Exchange(server, request, options, {
            headReceived: received => {
                head = received;
            },
            bytesReceived: (bytes, chunkCount) => {
                if (body.bytes + bytes.length > options.maximumBytes || smallChunks.isExceededBy(bytes, chunkCount)) {
                    exchange.fail(ConnectionFailure.protocol);
                    return;
                }
                appendTo(body, bytes, exchange);
            },
            completed: () => {
                account?.keep();
                resolve({ head: head!, body: body.take() });
            },
            failed: error => {
                account?.close();
                body.release();
                reject(error);
            },
        });
    });
}

/** Fails the exchange if there is no memory for the bytes. */
function appendTo(body: ByteCollector, bytes: Buffer, exchange: Exchange): void {
    try {
        body.append(bytes);
    }
    catch (error) {
        if (!(error instanceof MemoryShortageError)) {
            throw error;
        }
        exchange.fail(ConnectionFailure.memory, error);
    }
}
