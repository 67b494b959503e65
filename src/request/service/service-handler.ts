/**
 * Handles /services/NAME/PATH with any method. Responses to idempotent methods are streamed to the caller. Every other
 * call is a booking, which runs at most once; if its key was used before, the recorded response is replayed.
 */
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { ByteCollector } from "../../common/byte-collector.js";
import { isCustomerAllowed, type PlainService } from "../../domain/configuration.js";
import { BadRequestError, NotFoundError } from "../../errors/index.js";
import type { BookingService } from "../booking/booking-service.js";
import type { BookingDispatchResult, BookingResponse, BufferedServiceResponse } from "../booking/types.js";
import { requestDeadline } from "../http/deadline.js";
import { toPomelostallError } from "../http/json-responses.js";
import { type BodyLimits, readBody } from "../http/read-body.js";
import type { CallerExchange } from "../http/types.js";
import type { ServiceCaller } from "./service-caller.js";
import { DispatchKind, type DispatchResult, type ServiceCall, type ServiceResponse } from "./types.js";

const idempotencyKeyHeader = "idempotency-key";
const maximumIdempotencyKeyLength = 256;
const defaultContentType = "application/octet-stream";

export interface ServiceHandlerOptions {
    readonly bodyLimits: BodyLimits;
    readonly maximumTimeoutMilliseconds: number;
    /** Longest response body that is read for a booking. */
    readonly maximumBookingResponseBytes: number;
}

export class ServiceHandler {
    constructor(
        private readonly caller: ServiceCaller,
        private readonly bookings: BookingService,
        private readonly options: ServiceHandlerOptions,
    ) {}

    /** Answers one call. Throws on failure; a streamed response may then be partly sent. */
    async handle(exchange: CallerExchange, name: string, path: string): Promise<void> {
        const service = findService(exchange, name);
        const body = await readBody(exchange.request, this.options.bodyLimits);
        const call = this.createCall(exchange, service, path, body);
        if (service.idempotentMethods.includes(call.method)) {
            const response = await this.caller.call({ ...call, signal: exchange.callerGone });
            await streamResponse(response, exchange.response);
            return;
        }
        await this.handleBooking(exchange, call, body);
    }

    private createCall(exchange: CallerExchange, service: PlainService, path: string, body: Buffer): ServiceCall {
        const { request } = exchange;
        const query = (request.url ?? "").split("?", 2)[1];
        return {
            requestId: exchange.requestId,
            customer: exchange.customer.name,
            service,
            configurationVersion: exchange.configuration.version,
            method: request.method ?? "GET",
            path: query === undefined ? path : `${path}?${query}`,
            headers: request.headers,
            body: body.length === 0 ? undefined : body,
            deadline: requestDeadline(
                request,
                exchange.startedAt,
                service.defaultTimeoutMilliseconds,
                this.options.maximumTimeoutMilliseconds,
            ),
        };
    }

    /** The call is not aborted when the caller disconnects, since its outcome is recorded for later requests. */
    private async handleBooking(exchange: CallerExchange, call: ServiceCall, body: Buffer): Promise<void> {
        const bookingResponse = await this.bookings.book({
            requestId: call.requestId,
            customer: call.customer,
            service: call.service.name,
            idempotencyKey: readIdempotencyKey(exchange),
            method: call.method,
            path: call.path,
            body,
            deadline: call.deadline,
        }, () => this.dispatchOnce(call));
        sendBookingResponse(exchange.response, bookingResponse);
    }

    private async dispatchOnce(call: ServiceCall): Promise<BookingDispatchResult> {
        const result = await this.caller.dispatchOnce(call);
        if (result.kind !== DispatchKind.responded) {
            return { kind: result.kind, error: this.caller.toCallError(call, result) };
        }
        return this.bufferBookingResponse(call, result);
    }

    private async bufferBookingResponse(
        call: ServiceCall,
        result: Extract<DispatchResult, { kind: "responded"; }>,
    ): Promise<BookingDispatchResult> {
        try {
            return {
                kind: "response",
                response: await bufferResponse(result.response, this.options.maximumBookingResponseBytes),
            };
        }
        catch (error) {
            const failedResult = { kind: DispatchKind.unknown, error: toPomelostallError(error) };
            return { kind: "unknown", error: this.caller.toCallError(call, failedResult) };
        }
    }
}

function findService(exchange: CallerExchange, name: string): PlainService {
    const service = exchange.configuration.services.get(name);
    if (service === undefined || !isCustomerAllowed(service.customers, exchange.customer)) {
        throw new NotFoundError(`The service '${name}' does not exist or is not offered to this customer.`);
    }
    return service;
}

function readIdempotencyKey(exchange: CallerExchange): string | undefined {
    const key = exchange.request.headers[idempotencyKeyHeader];
    if (key === undefined) {
        return undefined;
    }
    if (typeof key !== "string" || key.length === 0 || key.length > maximumIdempotencyKeyLength) {
        throw new BadRequestError(`Idempotency-Key must have 1 to ${maximumIdempotencyKeyLength} characters.`);
    }
    return key;
}

async function streamResponse(from: ServiceResponse, to: ServerResponse): Promise<void> {
    to.statusCode = from.status;
    for (const [name, value] of Object.entries(from.headers)) {
        to.setHeader(name, value);
    }
    await pipeline(from.body, to);
}

async function bufferResponse(response: ServiceResponse, maximumBytes: number): Promise<BufferedServiceResponse> {
    const collector = new ByteCollector();
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        if (collector.bytes + chunk.length > maximumBytes) {
            response.body.destroy();
            throw new BadRequestError(`The service's response is longer than the limit of ${maximumBytes} bytes.`);
        }
        collector.append(chunk);
    }
    const contentType = response.headers["content-type"];
    return {
        status: response.status,
        contentType: typeof contentType === "string" ? contentType : defaultContentType,
        body: collector.take(),
    };
}

function sendBookingResponse(response: ServerResponse, { answer, replayedFrom, bodyOmitted }: BookingResponse): void {
    response.statusCode = answer.status;
    response.setHeader("Content-Type", answer.contentType);
    response.setHeader("Content-Length", answer.body.length);
    if (replayedFrom !== undefined) {
        response.setHeader("Idempotency-Replayed", "true");
        response.setHeader("X-Original-Request-Id", replayedFrom);
    }
    if (bodyOmitted) {
        response.setHeader("X-Body-Omitted", "true");
    }
    response.end(answer.body);
}
