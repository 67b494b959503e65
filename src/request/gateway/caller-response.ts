/** The response to one caller: written whole, or as a stream that looks complete only if it is. */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "../../connection/gateway/exchange.js";
import { answerHeaders } from "./headers.js";

export class CallerResponse {
    constructor(
        private readonly response: ServerResponse,
        /** Whether the connection is to be closed after this response. */
        private readonly closing: () => boolean,
    ) {}

    get begun(): boolean {
        return this.response.headersSent;
    }

    /** A whole answer of a backend server. */
    writeWhole(head: ResponseHead, body: Buffer): void {
        const headers = answerHeaders(head.rawHeaders);
        this.writeHead(head.status, [...headers, "Content-Length", String(body.length)]);
        this.response.end(body);
    }

    /** The status and headers of a stream; the body is framed anew. */
    beginStream(head: ResponseHead): void {
        this.writeHead(head.status, answerHeaders(head.rawHeaders));
        this.response.flushHeaders();
    }

    /** False if the caller reads more slowly than is written; `drained` tells when to go on. */
    write(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    drained(listener: () => void): void {
        this.response.once("drain", listener);
    }

    endStream(): void {
        this.response.end();
    }

    /** An answer of the gateway's own. */
    writeFailure(status: number, headers: readonly string[], body: Buffer): void {
        this.writeHead(status, [...headers, "Content-Length", String(body.length)]);
        this.response.end(body);
    }

    /** Closes the connection in the middle of an answer, so that it cannot be taken for a complete one. */
    breakOff(): void {
        this.response.destroy();
    }

    private writeHead(status: number, headers: string[]): void {
        this.response.writeHead(status, this.closing() ? [...headers, "Connection", "close"] : headers);
    }
}
