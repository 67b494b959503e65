/** The interface for operators: JSON over HTTP, behind the operators' credential. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { keyMatches, parseBearerKey } from "../../common/credentials.js";
import type { Logger } from "../../common/logger.js";
import { OperatorBadRequestError, OperatorUnauthorizedError, PomelostallError } from "../../errors/index.js";

/** One call that operators can make. */
export interface OperatorEndpoint {
    readonly method: "GET" | "POST";
    readonly path: string;
    handle(call: OperatorCall): Promise<unknown>;
}

export interface OperatorCall {
    readonly query: URLSearchParams;
    /** The parsed JSON body; undefined for GET. */
    readonly body: unknown;
}

const loopbackAddresses: ReadonlySet<string> = new Set(["127.0.0.1", "::1", "::ffff:127.0.0.1"]);

export class OperatorHandler {
    constructor(
        private readonly endpoints: readonly OperatorEndpoint[],
        /** SHA-256 of the credential in hexadecimal; without it only loopback is answered. */
        private readonly credentialHash: string | undefined,
        private readonly logger: Logger,
    ) {}

    /** For http.createServer. */
    readonly listener = (request: IncomingMessage, response: ServerResponse): void => {
        void this.answer(request, response);
    };

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            this.authorize(request);
            send(response, 200, await this.call(request));
        }
        catch (error) {
            this.fail(response, error);
        }
    }

    private authorize(request: IncomingMessage): void {
        if (this.credentialHash === undefined) {
            if (!loopbackAddresses.has(request.socket.remoteAddress ?? "")) {
                throw new OperatorUnauthorizedError();
            }
            return;
        }
        if (!keyMatches(parseBearerKey(request.headers.authorization) ?? "", this.credentialHash)) {
            throw new OperatorUnauthorizedError();
        }
    }

    private async call(request: IncomingMessage): Promise<unknown> {
        const [path, query] = (request.url ?? "/").split("?", 2);
        const endpoint = this.endpoints.find(each => each.method === request.method && each.path === path);
        if (endpoint === undefined) {
            throw new OperatorBadRequestError(`There is no ${request.method ?? "?"} ${path ?? "?"}.`);
        }
        const body = request.method === "POST" ? parseBody(await text(request)) : undefined;
        return endpoint.handle({ query: new URLSearchParams(query), body });
    }

    private fail(response: ServerResponse, error: unknown): void {
        if (error instanceof PomelostallError) {
            send(response, error.status, { error: { code: error.code, message: error.message, hint: error.hint } });
            return;
        }
        this.logger.error("an operator's call failed", { error: String(error) });
        send(response, 500, { error: { code: "internal-error", message: "An unexpected failure occurred." } });
    }
}

function parseBody(body: string): unknown {
    try {
        return body === "" ? undefined : JSON.parse(body) as unknown;
    }
    catch (error) {
        throw new OperatorBadRequestError("The body is not valid JSON.", error);
    }
}

function send(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
    response.end(body);
}
