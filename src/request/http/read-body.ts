/** Reads and parses request bodies, with limits on size and time. */
import type { IncomingMessage } from "node:http";
import { BadRequestError, BodyTooLargeError, RequestTimeoutError } from "../../errors/index.js";

export interface BodyLimits {
    readonly maximumBytes: number;
    readonly timeoutMilliseconds: number;
}

/** Reads the whole body. Rejects with BodyTooLargeError, RequestTimeoutError or BadRequestError. */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > limits.maximumBytes) {
        return Promise.reject(new BodyTooLargeError(limits.maximumBytes));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        const timer = setTimeout(() => finish(() => reject(new RequestTimeoutError())), limits.timeoutMilliseconds);
        const finish = (settle: () => void) => {
            clearTimeout(timer);
            request.off("data", onData);
            request.off("end", onEnd);
            settle();
        };
        const onData = (chunk: Buffer) => {
            receivedBytes += chunk.length;
            if (receivedBytes > limits.maximumBytes) {
                request.pause();
                finish(() => reject(new BodyTooLargeError(limits.maximumBytes)));
                return;
            }
            chunks.push(chunk);
        };
        const onEnd = () => finish(() => resolve(Buffer.concat(chunks)));
        request.on("data", onData);
        request.once("end", onEnd);
        request.once(
            "error",
            error => finish(() => reject(new BadRequestError("The request body could not be read completely.", error))),
        );
    });
}

/** Parses a JSON body. Throws BadRequestError if it is not valid JSON. */
export function parseJsonBody(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8")) as unknown;
    }
    catch (error) {
        throw new BadRequestError("The request body is not valid JSON.", error);
    }
}
