/** Stand-in for a plain service for bookings and stock queries, with a record of bookings and injectable faults. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { HttpStandIn, readBody, sendJson } from "../http-stand-in.js";

const okStatus = 200;
const createdStatus = 201;
const notFoundStatus = 404;
const unavailableStatus = 503;
const idempotencyHeader = "idempotency-key";
const requestIdHeader = "x-request-id";

/** Fault that is injected into one booking. */
export const ServiceFault = {
    /** The connection breaks before the booking runs. */
    breakBefore: "break-before",
    /** The booking runs, and the connection breaks without a response. */
    breakAfter: "break-after",
    /** The booking runs, and no response is ever sent. */
    hangAfter: "hang-after",
    /** The booking does not run, and no response is ever sent. */
    hangBefore: "hang-before",
    /** The booking is refused with status 503 and does not run. */
    unavailable: "unavailable",
} as const;
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault];

/** One booking that ran. */
export interface BookingRun {
    readonly bookingNumber: number;
    readonly idempotencyKey: string | undefined;
    readonly requestId: string | undefined;
    readonly body: string;
}

export interface StandInServiceOptions {
    readonly host?: string;
    /** 0 selects any free port. */
    readonly port?: number;
    /** Duration of a booking. */
    readonly runMilliseconds?: number;
}

/** Selects the fault for each booking; undefined lets the booking succeed. */
export type ServiceFaultRule = (request: IncomingMessage, body: string) => ServiceFault | undefined;

/** Record of the bookings that ran, from which tests count the runs of a request; independent of the transport. */
export class BookingRunRecord {
    readonly runs: BookingRun[] = [];

    addRun(idempotencyKey: string | undefined, requestId: string | undefined, body: string): BookingRun {
        const run = { bookingNumber: this.runs.length + 1, idempotencyKey, requestId, body };
        this.runs.push(run);
        return run;
    }

    runsOfKey(idempotencyKey: string): number {
        return this.runs.filter(run => run.idempotencyKey === idempotencyKey).length;
    }

    runsOfRequest(requestId: string): number {
        return this.runs.filter(run => run.requestId === requestId).length;
    }
}

/** Serves POST /bookings, GET /bookings/{number}, and GET /stock/{item}. */
export class StandInService {
    readonly record = new BookingRunRecord();
    faults: ServiceFaultRule | undefined;
    /** Number of HTTP requests received, of any kind. */
    callCount = 0;
    private readonly http: HttpStandIn;

    constructor(private readonly options: StandInServiceOptions = {}) {
        this.http = new HttpStandIn((request, response) => this.handle(request, response), options.port, options.host);
    }

    get address(): string {
        return this.http.address;
    }

    async start(): Promise<void> {
        await this.http.listen();
    }

    stop(): void {
        this.http.close();
    }

    /** Refuses new connections until `accept` is called. */
    refuse(): void {
        this.http.refuse();
    }

    async accept(): Promise<void> {
        await this.http.listen();
    }

    /** Sends nothing more on the connections that are open now; new connections work. */
    freezeConnections(): void {
        this.http.freezeConnections();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.callCount++;
        const body = await readBody(request);
        const [, resource, resourceId] = new URL(request.url ?? "/", this.address).pathname.split("/");
        if (request.method === "POST" && resource === "bookings") {
            await this.book(request, response, body);
        }
        else if (request.method === "GET" && resource === "bookings") {
            const run = this.record.runs.find(booking => String(booking.bookingNumber) === resourceId);
            sendJson(response, run === undefined ? notFoundStatus : okStatus, run ?? {});
        }
        else if (request.method === "GET" && resource === "stock") {
            sendJson(response, okStatus, { item: resourceId, tonnes: (resourceId ?? "").length * 10 });
        }
        else {
            sendJson(response, notFoundStatus, {});
        }
    }

    private async book(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
        const fault = this.faults?.(request, body);
        switch (fault) {
            case ServiceFault.breakBefore:
                response.destroy();
                return;
            case ServiceFault.hangBefore:
                return;
            case ServiceFault.unavailable:
                sendJson(response, unavailableStatus, { error: "busy" });
                return;
        }
        const run = this.record.addRun(header(request, idempotencyHeader), header(request, requestIdHeader), body);
        await new Promise(resolve => setTimeout(resolve, this.options.runMilliseconds ?? 0));
        if (fault === ServiceFault.breakAfter) {
            response.destroy();
        }
        else if (fault !== ServiceFault.hangAfter && !this.http.isFrozen(response)) {
            sendJson(response, createdStatus, { bookingNumber: run.bookingNumber });
        }
    }
}

function header(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
