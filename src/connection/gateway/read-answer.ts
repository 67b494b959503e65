/** Reads a whole answer of bounded size. */
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { Exchange, type ExchangeRequest, type ResponseHead } from "./exchange.js";

export interface BufferedResponse {
    readonly head: ResponseHead;
    readonly body: Buffer;
}

export interface ReadAnswerOptions {
    readonly connectTimeoutMilliseconds: number;
    readonly timeoutMilliseconds: number;
    readonly maximumBytes: number;
    readonly signal?: AbortSignal;
}

/** Rejects with ConnectionFailedError. */
export function readResponse(
    server: ServerEntry,
    request: ExchangeRequest,
    options: ReadAnswerOptions,
): Promise<BufferedResponse> {
    return new Promise((resolve, reject) => {
        let head: ResponseHead | undefined;
        const chunks: Buffer[] = [];
        let bytes = 0;
        const settle = (finish: () => void) => {
            clearTimeout(timer);
            options.signal?.removeEventListener("abort", abort);
            finish();
        };
        const giveUp = (failure: ConnectionFailure) => {
            exchange.cancel();
            settle(() => reject(new ConnectionFailedError(server.id, failure, true)));
        };
        const abort = () => giveUp(ConnectionFailure.broken);
        const exchange = new Exchange(server, request, options.connectTimeoutMilliseconds, {
            headReceived: received => {
                head = received;
            },
            chunkReceived: chunk => {
                bytes += chunk.length;
                if (bytes > options.maximumBytes) {
                    giveUp(ConnectionFailure.protocol);
                }
                chunks.push(chunk);
            },
            completed: () => settle(() => resolve({ head: head!, body: Buffer.concat(chunks) })),
            failed: error => settle(() => reject(error)),
        });
        const timer = setTimeout(() => giveUp(ConnectionFailure.silent), options.timeoutMilliseconds);
        options.signal?.addEventListener("abort", abort);
    });
}
