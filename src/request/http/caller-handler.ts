/** HTTP interface for callers: assigns each request an ID, authenticates it, and routes it to its handler. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import { afterPendingInput } from "../../common/event-loop.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { Configuration, ConfigurationSource } from "../../domain/configuration.js";
import {
    BadRequestError,
    CallerGoneError,
    NotFoundError,
    Outcome,
    type PomelostallError,
    RouterDrainingError,
} from "../../errors/index.js";
import type { DrainController } from "../../process/drain/drain-controller.js";
import { CustomerDirectory } from "../../version/customer-directory.js";
import { watchDisconnection } from "./caller-disconnection.js";
import { sendError, sendJson, toPomelostallError } from "./json-responses.js";
import type { CallerExchange } from "./types.js";

const requestIdHeader = "x-request-id";
const requestIdPattern = /^[A-Za-z0-9._-]{1,64}$/;
const servicePathPattern = /^\/services\/([^/]+)(\/.*)?$/;
const modelPathPattern = /^\/v1\/models\/([^/]+)$/;
/** Non-standard status, recorded when the caller closes the connection before the response is complete. */
const clientClosedRequestStatus = 499;

/** Handlers by kind of request. Each throws on failure; the response may then be partly sent. */
export interface CallerHandlers {
    chat(exchange: CallerExchange): Promise<void>;
    listModels(exchange: CallerExchange): void;
    retrieveModel(exchange: CallerExchange, name: string): void;
    service(exchange: CallerExchange, name: string, path: string): Promise<void>;
}

export class CallerHandler {
    private customerDirectory: CustomerDirectory;
    private directoryConfiguration: Configuration;

    constructor(
        private readonly configurations: ConfigurationSource,
        private readonly drain: DrainController,
        private readonly handlers: CallerHandlers,
        private readonly isReady: () => boolean,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
    ) {
        this.directoryConfiguration = configurations.current;
        this.customerDirectory = new CustomerDirectory(this.directoryConfiguration);
    }

    /** Request listener for http.createServer. */
    readonly listener = (request: IncomingMessage, response: ServerResponse): void => {
        const path = (request.url ?? "/").split("?", 1)[0]!;
        if (path === "/health/live") {
            sendJson(response, 200, { status: "live" });
            return;
        }
        if (path === "/health/ready") {
            const ready = this.isReady();
            sendJson(response, ready ? 200 : 503, { status: ready ? "ready" : "not-ready" });
            return;
        }
        void this.handleTracked(request, response, path);
    };

    private async handleTracked(request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
        const endRequest = this.drain.beginRequest();
        const requestId = resolveRequestId(request);
        const startedAt = monotonicNow();
        response.setHeader(requestIdHeader, requestId);
        try {
            await this.handle(request, response, path, requestId, startedAt);
        }
        catch (error) {
            this.handleError(response, toPomelostallError(error), requestId);
        }
        finally {
            endRequest();
            this.recordCompletion(request, response, path, requestId, startedAt);
        }
    }

    private async handle(
        request: IncomingMessage,
        response: ServerResponse,
        path: string,
        requestId: string,
        startedAt: number,
    ): Promise<void> {
        if (!this.drain.accepting) {
            throw new RouterDrainingError();
        }
        const configuration = this.configurations.current;
        const customer = this.directoryFor(configuration).authenticate(request.headers.authorization);
        const callerGone = watchDisconnection(request, response);
        await new Promise<void>(afterPendingInput);
        if (callerGone.aborted) {
            throw new CallerGoneError(Outcome.notRun);
        }
        await this.dispatch({
            request,
            response,
            requestId,
            configuration,
            customer,
            startedAt,
            callerGone,
        }, path);
    }

    private async dispatch(exchange: CallerExchange, path: string): Promise<void> {
        const { method } = exchange.request;
        if (method === "POST" && path === "/v1/chat/completions") {
            return this.handlers.chat(exchange);
        }
        if (method === "GET" && path === "/v1/models") {
            return this.handlers.listModels(exchange);
        }
        const model = modelPathPattern.exec(path);
        if (method === "GET" && model !== null) {
            return this.handlers.retrieveModel(exchange, decodePathSegment(model[1]!));
        }
        const service = servicePathPattern.exec(path);
        if (service !== null) {
            return this.handlers.service(exchange, decodePathSegment(service[1]!), service[2] ?? "/");
        }
        throw new NotFoundError(`No resource matches ${method ?? "?"} ${path}.`);
    }

    private directoryFor(configuration: Configuration): CustomerDirectory {
        if (configuration !== this.directoryConfiguration) {
            this.directoryConfiguration = configuration;
            this.customerDirectory = new CustomerDirectory(configuration);
        }
        return this.customerDirectory;
    }

    private handleError(response: ServerResponse, error: PomelostallError, requestId: string): void {
        this.metrics.increment("pomelostall.callers.failures", 1, { code: error.code });
        this.logger.warn("request failed", {
            requestId,
            code: error.code,
            outcome: error.outcome,
            message: error.message,
            cause: describeCause(error.cause),
        });
        if (!response.headersSent && !response.destroyed) {
            sendError(response, error, requestId);
        }
    }

    private recordCompletion(
        request: IncomingMessage,
        response: ServerResponse,
        path: string,
        requestId: string,
        startedAt: number,
    ): void {
        const status = response.destroyed && !response.writableFinished
            ? clientClosedRequestStatus
            : response.statusCode;
        const milliseconds = monotonicNow() - startedAt;
        const kind = servicePathPattern.test(path) ? "service" : path === "/v1/chat/completions" ? "chat" : "other";
        this.metrics.timing("pomelostall.callers.duration", milliseconds, { kind, status: String(status) });
        this.logger.info("request ended", { requestId, method: request.method, kind, status, milliseconds });
    }
}

function decodePathSegment(encoded: string): string {
    try {
        return decodeURIComponent(encoded);
    }
    catch (error) {
        throw new BadRequestError("The path contains invalid percent-encoding.", error);
    }
}

/** Formats the cause for the log; messages of causes contain no text of the request. */
function describeCause(cause: unknown): string | undefined {
    return cause instanceof Error ? `${cause.name}: ${cause.message}` : undefined;
}

function resolveRequestId(request: IncomingMessage): string {
    const requestedId = request.headers[requestIdHeader];
    return typeof requestedId === "string" && requestIdPattern.test(requestedId) ? requestedId : randomUUID();
}
