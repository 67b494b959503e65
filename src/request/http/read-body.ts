/** Reads a request body within limits of size and time. */
import type { IncomingMessage } from "node:http";
import { BadRequestError, BodyTooLargeError, RequestTimeoutError } from "../../errors/index.js";

export interface BodyLimits {
    readonly maximumBytes: number;
    readonly timeoutMilliseconds: number;
}

/** The whole body. Rejects with BodyTooLargeError, RequestTimeoutError or BadRequestError. */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > limits.maximumBytes) {
        return Promise.reject(new BodyTooLargeError(limits.maximumBytes));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        const timer = setTimeout(() => finish(() => reject(new RequestTimeoutError())), limits.timeoutMilliseconds);
        const finish = (settle: () => void) => {
            clearTimeout(timer);
            request.off("data", onData);
            request.off("end", onEnd);
            settle();
        };
        const onData = (chunk: Buffer) => {
            size += chunk.length;
            if (size > limits.maximumBytes) {
                request.pause();
                finish(() => reject(new BodyTooLargeError(limits.maximumBytes)));
                return;
            }
            chunks.push(chunk);
        };
        const onEnd = () => finish(() => resolve(Buffer.concat(chunks)));
        request.on("data", onData);
        request.once("end", onEnd);
        request.once("error", error => finish(() => reject(new BadRequestError("The body broke off.", error))));
    });
}

/** Parses a JSON body. Throws BadRequestError. */
export function parseJsonBody(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch (error) {
        throw new BadRequestError("The body is not valid JSON.", error);
    }
}
