/** The interface for callers: gives each request an ID, authenticates it, and hands it to the part that answers it. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { Configuration, ConfigurationSource } from "../../domain/configuration.js";
import { BadRequestError, NotFoundError, type PomelostallError, RouterDrainingError } from "../../errors/index.js";
import type { DrainController } from "../../process/drain/drain-controller.js";
import { CustomerDirectory } from "../../version/customer-directory.js";
import { sendError, sendJson, toPomelostallError } from "./error-body.js";
import type { CallerExchange } from "./types.js";

const requestIdHeader = "x-request-id";
const requestIdPattern = /^[A-Za-z0-9._-]{1,64}$/;
const servicePathPattern = /^\/services\/([^/]+)(\/.*)?$/;
const modelPathPattern = /^\/v1\/models\/([^/]+)$/;
const clientClosedStatus = 499;

/** Answers one kind of request; failures before the first byte are thrown. */
export interface CallerHandlers {
    chat(exchange: CallerExchange): Promise<void>;
    listModels(exchange: CallerExchange): void;
    retrieveModel(exchange: CallerExchange, name: string): void;
    service(exchange: CallerExchange, name: string, path: string): Promise<void>;
}

export class CallerHandler {
    private directory: CustomerDirectory;
    private directoryVersion: Configuration;

    constructor(
        private readonly configurations: ConfigurationSource,
        private readonly drain: DrainController,
        private readonly handlers: CallerHandlers,
        private readonly isReady: () => boolean,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
    ) {
        this.directoryVersion = configurations.current;
        this.directory = new CustomerDirectory(this.directoryVersion);
    }

    /** For http.createServer. */
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
        void this.handleCounted(request, response, path);
    };

    private async handleCounted(request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
        const end = this.drain.begin();
        const requestId = chooseRequestId(request);
        const startedAt = monotonicNow();
        response.setHeader(requestIdHeader, requestId);
        try {
            await this.handle(request, response, path, requestId, startedAt);
        }
        catch (error) {
            this.fail(response, toPomelostallError(error), requestId);
        }
        finally {
            end();
            this.record(request, response, path, requestId, startedAt);
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
        const customer = this.currentDirectory(configuration).authenticate(request.headers.authorization);
        const callerGone = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                callerGone.abort();
            }
        });
        await this.dispatch({
            request,
            response,
            requestId,
            configuration,
            customer,
            startedAt,
            callerGone: callerGone.signal,
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
            return this.handlers.retrieveModel(exchange, decodeName(model[1]!));
        }
        const service = servicePathPattern.exec(path);
        if (service !== null) {
            return this.handlers.service(exchange, decodeName(service[1]!), service[2] ?? "/");
        }
        throw new NotFoundError(`There is nothing at ${method ?? "?"} ${path}.`);
    }

    private currentDirectory(configuration: Configuration): CustomerDirectory {
        if (configuration !== this.directoryVersion) {
            this.directoryVersion = configuration;
            this.directory = new CustomerDirectory(configuration);
        }
        return this.directory;
    }

    private fail(response: ServerResponse, error: PomelostallError, requestId: string): void {
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

    private record(
        request: IncomingMessage,
        response: ServerResponse,
        path: string,
        requestId: string,
        startedAt: number,
    ): void {
        const status = response.destroyed && !response.writableFinished ? clientClosedStatus : response.statusCode;
        const milliseconds = monotonicNow() - startedAt;
        const kind = servicePathPattern.test(path) ? "service" : path === "/v1/chat/completions" ? "chat" : "other";
        this.metrics.timing("pomelostall.callers.duration", milliseconds, { kind, status: String(status) });
        this.logger.info("request ended", { requestId, method: request.method, kind, status, milliseconds });
    }
}

function decodeName(encoded: string): string {
    try {
        return decodeURIComponent(encoded);
    }
    catch (error) {
        throw new BadRequestError("The path is not valid percent-encoding.", error);
    }
}

/** The cause's own message; causes hold no request text. */
function describeCause(cause: unknown): string | undefined {
    return cause instanceof Error ? `${cause.name}: ${cause.message}` : undefined;
}

function chooseRequestId(request: IncomingMessage): string {
    const given = request.headers[requestIdHeader];
    return typeof given === "string" && requestIdPattern.test(given) ? given : randomUUID();
}
