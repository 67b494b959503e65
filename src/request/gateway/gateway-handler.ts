/** Handles callers' requests: finds the route and the customer, reads the body, and forwards the request. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import { type MemoryLedger, MemoryScope } from "../../common/memory-ledger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import {
    BadRequestError,
    BodyTooLargeError,
    ConfigurationMissingError,
    InternalError,
    MemoryShortageError,
    NoServerAvailableError,
    NotFoundError,
    Outcome,
    PomelostallError,
    RequestTimeoutError,
    RouterDrainingError,
    RouterStoppedError,
    UnauthorizedError,
} from "../../errors/index.js";
import type { ClientLimits } from "../../process/gateway/client-limits.js";
import type { ShutdownGrace } from "../../process/gateway/shutdown-grace.js";
import type { GatewayConfigurationIndex } from "../../version/gateway/gateway-configuration-index.js";
import { watchDisconnection } from "../http/caller-disconnection.js";
import { readCallerBody } from "./caller-body.js";
import { addressOf, CallerConnections } from "./caller-connections.js";
import { checkHeaderBytes, headerText, readLastEventId } from "./caller-headers.js";
import { CallerResponse } from "./caller-response.js";
import type { PlainForwarder } from "./plain-forwarder.js";
import { pollUntilDefined, shortWaitEnd } from "./poll-until-defined.js";
import type { StreamForwarder } from "./stream-forwarder.js";
import type { GatewayRequest } from "./types.js";

export interface GatewayHandlerDependencies {
    readonly dialect: Dialect;
    /** The configuration version in force; a request uses the version that it started with until it ends. */
    configurationIndex(): GatewayConfigurationIndex | undefined;
    readonly shutdown: ShutdownGrace;
    readonly plainForwarder: PlainForwarder;
    readonly streamForwarder: StreamForwarder;
    readonly limits: ClientLimits;
    readonly memory: MemoryLedger;
    readonly random: RandomSource;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** A router has read the configuration about this long after its start. */
const startupRetryAfterSeconds = 2;
const leastUrgentPriority = 9;
/** Paths that the runtime sends; it also parses ones with tabs and form feeds. */
const forwardableTargetPattern = /^[\x21-\xff]+$/;
/** Time between two parts of a body until the first configuration states one. */
const defaultBodyPauseMilliseconds = 2_000;
/** After these the rest of the request is not read, so that its connection can serve no other. */
const unreadBodyErrors = [BadRequestError, BodyTooLargeError, RequestTimeoutError, MemoryShortageError] as const;
const bearerPattern = /^Bearer (.+)$/i;

/** What belongs to one request of a caller. */
interface CallerWork {
    readonly boundary: FailureBoundary;
    readonly memory: MemoryScope;
}

export class GatewayHandler {
    /** Aborting cancels a request as if its caller had disconnected. */
    private readonly running = new Set<AbortController>();
    private readonly connections: CallerConnections;

    constructor(private readonly dependencies: GatewayHandlerDependencies) {
        this.connections = new CallerConnections(dependencies);
    }

    /** Requests that have been received and whose response has not been written in full. */
    get requestsInFlight(): number {
        return this.running.size;
    }

    /** Cancels all requests; those whose response has not started get an error response. */
    cancelAll(): void {
        [...this.running].forEach(controller => controller.abort());
    }

    readonly handle = (message: IncomingMessage, serverResponse: ServerResponse): void => {
        const { socket } = message;
        const boundary = this.dependencies.failures.createBoundary("caller request", () => socket.destroy());
        if (this.connections.closeIfFlooded(socket)) {
            return;
        }
        const cancelled = new AbortController();
        this.running.add(cancelled);
        this.connections.beginRequest(socket);
        const memory = new MemoryScope(this.dependencies.memory);
        serverResponse.on(
            "close",
            boundary.wrap(() => {
                memory.close();
                this.connections.endRequest(socket);
            }),
        );
        const endOnceWritten = () => {
            const end = () => this.running.delete(cancelled);
            if (serverResponse.writableFinished || socket.destroyed) {
                end();
                return;
            }
            // A caller that reads slowly gets the rest of its response, which is buffered in this process.
            serverResponse.once("finish", boundary.wrap(end));
            socket.once("close", boundary.wrap(end));
        };
        boundary.run(() => this.serve(message, serverResponse, cancelled, boundary, memory).finally(endOnceWritten));
    };

    /** Closes an idle connection if there are as many as there may be. */
    readonly handleConnection = (socket: Socket): void => {
        const boundary = this.dependencies.failures.createBoundary("caller connection", () => socket.destroy());
        this.connections.open(socket, boundary);
    };

    /** Handles what the runtime reports of a connection on which it cannot read a request. */
    readonly handleConnectionError = (error: Error, socket: Duplex): void => {
        // Callers connect over TCP only.
        this.connections.handleError(error, socket as Socket);
    };

    /** Such a connection closes after its last response; earlier ones are followed by others. */
    private shouldClose(socket: Socket): boolean {
        return (this.dependencies.shutdown.begun || this.connections.isUnreadable(socket))
            && this.connections.countInFlight(socket) <= 1;
    }

    private async serve(
        message: IncomingMessage,
        serverResponse: ServerResponse,
        cancelled: AbortController,
        boundary: FailureBoundary,
        memory: MemoryScope,
    ): Promise<void> {
        const receivedAt = monotonicNow();
        const { socket } = message;
        const response = new CallerResponse(serverResponse, () => this.shouldClose(socket), boundary, {
            memory,
            owner: addressOf(socket),
            idleMilliseconds: () =>
                this.dependencies.configurationIndex()?.configuration.limits.idleTimeoutMilliseconds,
        });
        const disconnected = watchDisconnection(message, serverResponse);
        disconnected.addEventListener(
            "abort",
            boundary.wrap(() => {
                this.logDisconnection(message, receivedAt);
                cancelled.abort();
            }),
        );
        serverResponse.on(
            "finish",
            boundary.wrap(() => this.handleResponseWritten(message, serverResponse, receivedAt, boundary)),
        );
        try {
            await this.forwardRequest(message, response, receivedAt, cancelled.signal, { boundary, memory });
        }
        catch (error) {
            const cause = cancelled.signal.aborted && !disconnected.aborted ? stopError(error) : error;
            this.connections.paceUnread(message, boundary);
            this.respondWithError(message, response, receivedAt, cause, disconnected);
        }
    }

    private handleResponseWritten(
        message: IncomingMessage,
        { statusCode }: ServerResponse,
        receivedAt: number,
        boundary: FailureBoundary,
    ): void {
        const { socket } = message;
        this.dependencies.metrics.timing("pomelostall.gateway.request_milliseconds", monotonicNow() - receivedAt, {
            status: String(statusCode),
        });
        // A response that started before the shutdown has no `Connection: close` header.
        if (this.shouldClose(socket)) {
            socket.end();
        }
        if (!message.complete) {
            // The runtime discards the rest of the body, also one that never ends.
            const pause = this.bodyPauseMilliseconds;
            const timer = setTimeout(boundary.wrap(() => message.complete || socket.destroy()), pause);
            socket.once("close", boundary.wrap(() => clearTimeout(timer)));
        }
    }

    private get bodyPauseMilliseconds(): number {
        return this.dependencies.configurationIndex()?.configuration.limits.headerTimeoutMilliseconds
            ?? defaultBodyPauseMilliseconds;
    }

    private logDisconnection(message: IncomingMessage, receivedAt: number): void {
        this.dependencies.logger.info("caller disconnected before the response was complete", {
            requestId: headerText(message, this.dependencies.dialect.headers.requestId),
            milliseconds: Math.round(monotonicNow() - receivedAt),
        });
    }

    private async forwardRequest(
        message: IncomingMessage,
        response: CallerResponse,
        receivedAt: number,
        callerGone: AbortSignal,
        work: CallerWork,
    ): Promise<void> {
        const { socket } = message;
        this.connections.refuseExcess(socket, this.running.size);
        if (this.dependencies.shutdown.begun && (this.connections.countInFlight(socket) > 1 || !socket.writable)) {
            // The connection closes after a response that is under way, so that this request's may not get through.
            throw new RouterDrainingError(0);
        }
        const version = await this.waitForVersion(message, callerGone);
        const request = await this.readRequest(message, version, receivedAt, callerGone, work);
        const service = version.configuration.services.get(request.service);
        if (service === undefined) {
            throw new NoServerAvailableError(
                request.service,
                "the configuration does not define the service",
                startupRetryAfterSeconds,
            );
        }
        if (service.engine === undefined) {
            await this.dependencies.plainForwarder.forward(request, response);
        }
        else {
            await this.dependencies.streamForwarder.forward(request, service.engine, response);
        }
    }

    /**
     * Waits for the configuration, which arrives shortly after a start, for a part of the caller's timeout. A request
     * that states no timeout does not wait.
     */
    private async waitForVersion(
        message: IncomingMessage,
        callerGone: AbortSignal,
    ): Promise<GatewayConfigurationIndex> {
        const callerTimeout = Number(headerText(message, this.dependencies.dialect.headers.deadline) ?? 0);
        const findVersion = () => {
            const version = this.dependencies.configurationIndex();
            if (version === undefined && this.dependencies.shutdown.begun) {
                throw new RouterDrainingError(0);
            }
            return version;
        };
        const version = await pollUntilDefined(findVersion, {
            until: shortWaitEnd(monotonicNow(), callerTimeout || 0),
            callerGone,
        });
        if (version === undefined) {
            throw new ConfigurationMissingError(startupRetryAfterSeconds);
        }
        return version;
    }

    private async readRequest(
        message: IncomingMessage,
        version: GatewayConfigurationIndex,
        receivedAt: number,
        callerGone: AbortSignal,
        { boundary, memory }: CallerWork,
    ): Promise<GatewayRequest> {
        const { headers } = this.dependencies.dialect;
        const { limits } = version.configuration;
        checkHeaderBytes(message, limits.maximumHeaderBytes);
        const target = message.url ?? "/";
        const path = target.split("?", 1)[0]!;
        const route = version.findRoute(message.headers.host, path);
        if (route === undefined) {
            throw new NotFoundError(`No route in configuration version ${version.version} matches the host and path.`);
        }
        if (!forwardableTargetPattern.test(target)) {
            throw new BadRequestError("The path contains control characters.");
        }
        const customer = this.findCustomer(message, version, route);
        const id = headerText(message, headers.requestId);
        if (id === undefined) {
            throw new BadRequestError(`The required header ${headers.requestId} is missing.`);
        }
        const callerTimeout = Number(headerText(message, headers.deadline) ?? Infinity);
        const timeout = Math.min(Number.isNaN(callerTimeout) ? Infinity : callerTimeout, route.timeoutMilliseconds);
        const deadline = receivedAt + timeout;
        if (!this.dependencies.shutdown.allowsStart(deadline)) {
            throw new RouterDrainingError(0);
        }
        return {
            id,
            method: message.method ?? "GET",
            target,
            rawHeaders: message.rawHeaders,
            body: await readCallerBody(message, {
                maximumBytes: limits.maximumBodyBytes,
                pauseMilliseconds: limits.headerTimeoutMilliseconds,
                deadline,
                memory,
                owner: `${customer?.name ?? "no customer"} at ${addressOf(message.socket)}`,
                cancelled: callerGone,
                input: this.connections.inputOf(message.socket),
                boundary,
            }),
            memory,
            route,
            service: this.pickService(route),
            customer: customer?.name,
            priority: Math.min(leastUrgentPriority, customer?.priority ?? route.priority),
            tokens: this.dependencies.dialect.parseTokenCounts(headerText(message, headers.tokenCounts)),
            lengthHint: this.dependencies.dialect.parseLengthHint(headerText(message, headers.lengthHint)),
            resumedAfter: readLastEventId(message, headers.lastEventId, route),
            sharedPromptParts: this.dependencies.dialect.parseSharedPromptParts(
                headerText(message, headers.promptParts),
            ),
            configurationVersion: version.version,
            receivedAt,
            deadline,
            callerGone,
        };
    }

    private findCustomer(message: IncomingMessage, version: GatewayConfigurationIndex, route: GatewayRoute) {
        if (!version.requiresKeys) {
            return undefined;
        }
        const key = bearerPattern.exec(message.headers.authorization ?? "")?.[1];
        const customer = version.findCustomer(key);
        if (customer === undefined && !route.allowsAnonymous) {
            throw new UnauthorizedError();
        }
        return customer;
    }

    /** Draws a service at random by the weights of the route's traffic split. */
    private pickService(route: GatewayRoute): string {
        const totalWeight = route.shares.reduce((sum, { weight }) => sum + weight, 0);
        let remainingWeight = this.dependencies.random.next() * totalWeight;
        for (const { service, weight } of route.shares) {
            remainingWeight -= weight;
            if (remainingWeight < 0) {
                return service;
            }
        }
        return route.shares.at(-1)?.service ?? "";
    }

    private respondWithError(
        message: IncomingMessage,
        response: CallerResponse,
        receivedAt: number,
        cause: unknown,
        callerGone: AbortSignal,
    ): void {
        const error = cause instanceof PomelostallError
            ? cause
            : new InternalError("An unexpected failure occurred in the gateway.", cause);
        this.dependencies.metrics.increment("pomelostall.gateway.failed_requests", 1, { code: error.code });
        this.dependencies.logger.info("request failed", {
            requestId: headerText(message, this.dependencies.dialect.headers.requestId),
            code: error.code,
            status: error.status,
            reason: error.message,
            cause: error instanceof InternalError ? String((cause as Error | undefined)?.stack) : undefined,
            callerGone: callerGone.aborted,
            answerBegun: response.started,
            milliseconds: Math.round(monotonicNow() - receivedAt),
            version: this.dependencies.configurationIndex()?.version,
        });
        if (response.started) {
            response.abortConnection();
            return;
        }
        const leavesBodyUnread = unreadBodyErrors.some(type => error instanceof type)
            || this.shouldClose(message.socket);
        if (leavesBodyUnread && !message.complete) {
            this.connections.markUnreadable(message.socket);
            response.writeGatewayError(error, message);
            return;
        }
        response.writeGatewayError(error);
    }
}

/** The error of a request that the router cancelled at the end of its grace period. */
function stopError(error: unknown): PomelostallError {
    return error instanceof PomelostallError && error.outcome === Outcome.notRun
        ? new RouterDrainingError(0)
        : new RouterStoppedError();
}
