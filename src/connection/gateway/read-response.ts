/** Sends a request to a backend server and buffers its whole response, up to a maximum size. */
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { Exchange, type ExchangeRequest, type ResponseHead } from "./exchange.js";

export interface BufferedResponse {
    readonly head: ResponseHead;
    readonly body: Buffer;
}

export interface ReadResponseOptions {
    readonly connectTimeoutMilliseconds: number;
    readonly timeoutMilliseconds: number;
    readonly maximumBytes: number;
    readonly signal?: AbortSignal;
}

/**
 * Rejects with ConnectionFailedError if the exchange fails, times out or is aborted, or if the body exceeds the maximum
 * size.
 */
export function readResponse(
    server: ServerEntry,
    request: ExchangeRequest,
    options: ReadResponseOptions,
): Promise<BufferedResponse> {
    return new Promise((resolve, reject) => {
        let head: ResponseHead | undefined;
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        const settle = (finish: () => void) => {
            clearTimeout(timer);
            options.signal?.removeEventListener("abort", abort);
            finish();
        };
        const abortWith = (failure: ConnectionFailure) => {
            exchange.cancel();
            settle(() => reject(new ConnectionFailedError(server.id, failure, true)));
        };
        const abort = () => abortWith(ConnectionFailure.broken);
        const exchange = new Exchange(server, request, options.connectTimeoutMilliseconds, {
            headReceived: received => {
                head = received;
            },
            chunkReceived: chunk => {
                receivedBytes += chunk.length;
                if (receivedBytes > options.maximumBytes) {
                    abortWith(ConnectionFailure.protocol);
                }
                chunks.push(chunk);
            },
            completed: () => settle(() => resolve({ head: head!, body: Buffer.concat(chunks) })),
            failed: error => settle(() => reject(error)),
        });
        const timer = setTimeout(() => abortWith(ConnectionFailure.silent), options.timeoutMilliseconds);
        options.signal?.addEventListener("abort", abort);
    });
}
