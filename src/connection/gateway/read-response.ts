/** Sends a request to a backend server and buffers its whole response, up to a maximum size. */
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailure } from "../../errors/index.js";
import { Exchange, type ExchangeOptions, type ExchangeRequest, type ResponseHead } from "./exchange.js";

export interface BufferedResponse {
    readonly head: ResponseHead;
    readonly body: Buffer;
}

export interface ReadResponseOptions extends ExchangeOptions {
    readonly maximumBytes: number;
}

/** Rejects with ConnectionFailedError if the exchange fails, or if the body exceeds the maximum size. */
export function readResponse(
    server: ServerEntry,
    request: ExchangeRequest,
    options: ReadResponseOptions,
): Promise<BufferedResponse> {
    return new Promise((resolve, reject) => {
        let head: ResponseHead | undefined;
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        const exchange = new Exchange(server, request, options, {
            headReceived: received => {
                head = received;
            },
            chunkReceived: chunk => {
                receivedBytes += chunk.length;
                chunks.push(chunk);
                if (receivedBytes > options.maximumBytes) {
                    exchange.fail(ConnectionFailure.protocol);
                }
            },
            completed: () => resolve({ head: head!, body: Buffer.concat(chunks) }),
            failed: reject,
        });
    });
}
