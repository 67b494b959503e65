/** Receives callers' requests: finds the route and the customer, reads the body, and has the request passed on. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import {
    BadRequestError,
    BodyTooLargeError,
    ConfigurationMissingError,
    HeadersTooLargeError,
    InternalError,
    NoServerAvailableError,
    NotFoundError,
    PomelostallError,
    UnauthorizedError,
} from "../../errors/index.js";
import type { GatewayConfigurationIndex } from "../../version/gateway/gateway-version.js";
import { waitFor } from "./bounded-wait.js";
import { CallerResponse } from "./caller-response.js";
import type { PlainForwarder } from "./plain-forwarder.js";
import type { StreamForwarder } from "./stream-forwarder.js";
import type { GatewayRequest } from "./types.js";

export interface GatewayHandlerParts {
    readonly dialect: Dialect;
    /** The version in force; each request keeps the one that it began under. */
    currentVersion(): GatewayConfigurationIndex | undefined;
    /** Whether connections are to be closed after their next response. */
    closing(): boolean;
    readonly plainForwarder: PlainForwarder;
    readonly streamForwarder: StreamForwarder;
    readonly random: RandomSource;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** A router that has just started knows the configuration after about this time. */
const retryAfterStartSeconds = 2;
const highestPriority = 9;
const bearerPattern = /^Bearer (.+)$/i;

export class GatewayHandler {
    private inFlight = 0;

    constructor(private readonly parts: GatewayHandlerParts) {}

    /** Requests that have been read and are not answered. */
    get requestsInFlight(): number {
        return this.inFlight;
    }

    readonly handle = (message: IncomingMessage, serverResponse: ServerResponse): void => {
        this.inFlight++;
        void this.serve(message, serverResponse).finally(() => {
            this.inFlight--;
        });
    };

    private async serve(message: IncomingMessage, serverResponse: ServerResponse): Promise<void> {
        const receivedAt = monotonicNow();
        const response = new CallerResponse(serverResponse, () => this.parts.closing());
        const callerGone = new AbortController();
        serverResponse.on("close", () => {
            if (!serverResponse.writableFinished) {
                callerGone.abort();
            }
        });
        serverResponse.on("error", () => callerGone.abort());
        serverResponse.on("finish", () => {
            const milliseconds = monotonicNow() - receivedAt;
            this.parts.metrics.timing("pomelostall.gateway.request_milliseconds", milliseconds, {
                status: String(serverResponse.statusCode),
            });
            // A response that began before the stop has not announced that its connection closes.
            if (this.parts.closing()) {
                message.socket.end();
            }
        });
        try {
            await this.answer(message, response, receivedAt, callerGone.signal);
        }
        catch (error) {
            this.fail(message, response, receivedAt, error, callerGone.signal);
        }
    }

    private async answer(
        message: IncomingMessage,
        response: CallerResponse,
        receivedAt: number,
        callerGone: AbortSignal,
    ): Promise<void> {
        const version = await this.waitForVersion(message, callerGone);
        const request = await this.readRequest(message, version, receivedAt, callerGone);
        const service = version.configuration.services.get(request.service);
        if (service === undefined) {
            throw new NoServerAvailableError(request.service, "the service is unknown", retryAfterStartSeconds);
        }
        if (service.engine === undefined) {
            await this.parts.plainForwarder.forward(request, response);
        }
        else {
            await this.parts.streamForwarder.forward(request, service.engine, response);
        }
    }

    /** A router that has just started is about to know the configuration; callers wait for it a part of their time. */
    private async waitForVersion(
        message: IncomingMessage,
        callerGone: AbortSignal,
    ): Promise<GatewayConfigurationIndex> {
        const patience = Number(headerText(message, this.parts.dialect.headers.deadline) ?? 0);
        const version = await waitFor(() => this.parts.currentVersion(), {
            since: monotonicNow(),
            patienceMilliseconds: patience || 0,
            callerGone,
        });
        if (version === undefined) {
            throw new ConfigurationMissingError(retryAfterStartSeconds);
        }
        return version;
    }

    private async readRequest(
        message: IncomingMessage,
        version: GatewayConfigurationIndex,
        receivedAt: number,
        callerGone: AbortSignal,
    ): Promise<GatewayRequest> {
        const { headers } = this.parts.dialect;
        const { limits } = version.configuration;
        checkHeaderBytes(message, limits.maximumHeaderBytes);
        const target = message.url ?? "/";
        const path = target.split("?", 1)[0]!;
        const route = version.findRoute(message.headers.host, path);
        if (route === undefined) {
            throw new NotFoundError(`No route of version ${version.version} matches the host and path.`);
        }
        const customer = this.findCustomer(message, version, route);
        const id = headerText(message, headers.requestId);
        if (id === undefined) {
            throw new BadRequestError(`The header ${headers.requestId} is missing.`);
        }
        const patience = Number(headerText(message, headers.deadline) ?? Infinity);
        const wait = Math.min(Number.isNaN(patience) ? Infinity : patience, route.timeoutMilliseconds);
        return {
            id,
            method: message.method ?? "GET",
            target,
            rawHeaders: message.rawHeaders,
            body: await readBody(message, limits.maximumBodyBytes),
            route,
            service: this.pickService(route),
            customer: customer?.name,
            priority: Math.min(highestPriority, customer?.priority ?? route.priority),
            tokens: this.parts.dialect.parseTokenCounts(headerText(message, headers.tokenCounts)),
            configurationVersion: version.version,
            receivedAt,
            deadline: receivedAt + wait,
            callerGone,
        };
    }

    private findCustomer(message: IncomingMessage, version: GatewayConfigurationIndex, route: GatewayRoute) {
        if (!version.requiresKeys) {
            return undefined;
        }
        const key = bearerPattern.exec(message.headers.authorization ?? "")?.[1];
        const customer = version.findCustomer(key);
        if (customer === undefined && !route.open) {
            throw new UnauthorizedError();
        }
        return customer;
    }

    /** Draws a service by the route's weights. */
    private pickService(route: GatewayRoute): string {
        const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
        let left = this.parts.random.next() * total;
        for (const { service, weight } of route.shares) {
            left -= weight;
            if (left < 0) {
                return service;
            }
        }
        return route.shares.at(-1)?.service ?? "";
    }

    private fail(
        message: IncomingMessage,
        response: CallerResponse,
        receivedAt: number,
        cause: unknown,
        callerGone: AbortSignal,
    ): void {
        const error = cause instanceof PomelostallError ? cause : new InternalError("unexpected failure", cause);
        this.parts.metrics.increment("pomelostall.gateway.failed_requests", 1, { code: error.code });
        this.parts.logger.info("request failed", {
            requestId: headerText(message, this.parts.dialect.headers.requestId),
            code: error.code,
            status: error.status,
            reason: error.message,
            cause: error instanceof InternalError ? String((cause as Error | undefined)?.stack) : undefined,
            callerGone: callerGone.aborted,
            answerBegun: response.begun,
            milliseconds: Math.round(monotonicNow() - receivedAt),
            version: this.parts.currentVersion()?.version,
        });
        if (response.begun) {
            response.breakOff();
            return;
        }
        const body = Buffer.from(JSON.stringify({
            error: { message: error.message, type: error.code, code: error.code, outcome: error.outcome },
        }));
        const headers = ["Content-Type", "application/json"];
        if (error.retryAfterSeconds !== undefined) {
            headers.push("Retry-After", String(error.retryAfterSeconds));
        }
        response.writeFailure(error.status, headers, body);
    }
}

function headerText(message: IncomingMessage, name: string): string | undefined {
    const value = message.headers[name];
    return typeof value === "string" ? value : undefined;
}

/** Separators of a header line: a colon, a space and the end of the line. */
const headerLineOverhead = 4;

function checkHeaderBytes({ rawHeaders }: IncomingMessage, maximumBytes: number): void {
    const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0) + headerLineOverhead * rawHeaders.length / 2;
    if (bytes > maximumBytes) {
        throw new HeadersTooLargeError(maximumBytes);
    }
}

/** Undefined for a request without a body. */
async function readBody(message: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
    if (message.headers["content-length"] === undefined && message.headers["transfer-encoding"] === undefined) {
        return undefined;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of message) {
        bytes += (chunk as Buffer).length;
        if (bytes > maximumBytes) {
            throw new BodyTooLargeError(maximumBytes);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}
