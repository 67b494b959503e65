/** Operator interface: JSON over HTTP, authorized by the operators' credential or, without one, for loopback only. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { keyMatches, parseBearerKey } from "../../common/credentials.js";
import type { Logger } from "../../common/logger.js";
import { OperatorBadRequestError, OperatorUnauthorizedError, PomelostallError } from "../../errors/index.js";

/** One endpoint of the operator interface. */
export interface OperatorEndpoint {
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Returns the JSON body of the response. */
    handle(call: OperatorCall): Promise<unknown>;
}

export interface OperatorCall {
    readonly query: URLSearchParams;
    /** The parsed JSON body; undefined for GET and for an empty body. */
    readonly body: unknown;
}

const loopbackAddresses: ReadonlySet<string> = new Set(["127.0.0.1", "::1", "::ffff:127.0.0.1"]);

export class OperatorHandler {
    constructor(
        private readonly endpoints: readonly OperatorEndpoint[],
        /** SHA-256 of the credential in hexadecimal; if undefined, only calls from loopback are answered. */
        private readonly credentialHash: string | undefined,
        private readonly logger: Logger,
    ) {}

    /** Request listener for `http.createServer`. */
    readonly listener = (request: IncomingMessage, response: ServerResponse): void => {
        void this.handleRequest(request, response);
    };

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            this.authorize(request);
            sendJson(response, 200, await this.dispatch(request));
        }
        catch (error) {
            this.sendError(response, error);
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

    private async dispatch(request: IncomingMessage): Promise<unknown> {
        const [path, query] = (request.url ?? "/").split("?", 2);
        const endpoint = this.endpoints.find(candidate =>
            candidate.method === request.method && candidate.path === path
        );
        if (endpoint === undefined) {
            throw new OperatorBadRequestError(`No operator endpoint matches ${request.method ?? "?"} ${path ?? "?"}.`);
        }
        const body = request.method === "POST" ? parseBody(await text(request)) : undefined;
        return endpoint.handle({ query: new URLSearchParams(query), body });
    }

    private sendError(response: ServerResponse, error: unknown): void {
        if (error instanceof PomelostallError) {
            sendJson(response, error.status, { error: { code: error.code, message: error.message, hint: error.hint } });
            return;
        }
        this.logger.error("operator call failed unexpectedly; answered with status 500", { error: String(error) });
        sendJson(response, 500, { error: { code: "internal-error", message: "An unexpected failure occurred." } });
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

function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
    response.end(body);
}
