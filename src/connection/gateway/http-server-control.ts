/** Reads reports from backend servers and sends control orders to them over HTTP. */
import { monotonicNow } from "../../common/clock.js";
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { Dialect, PathPart } from "../../domain/gateway/dialect.js";
import type { ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import {
    formatSocketAddress,
    OrderOutcome,
    type ServerEntry,
    type ServerReport,
} from "../../domain/gateway/server-entry.js";
import type { LayerRange } from "../../domain/layers.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { type BufferedResponse, readResponse } from "./read-response.js";

/** Reports do not occupy a request slot, so a response later than this means that the engine is lost or overloaded. */
const callTimeoutMilliseconds = 800;
const connectTimeoutMilliseconds = 400;
const maximumResponseBytes = 1_000_000;

export class HttpServerControl implements ServerControl {
    constructor(
        private readonly dialect: Dialect,
        private readonly responseObserver: ResponseObserver,
        private readonly failures: FailureReporter,
    ) {}

    async readReport(server: ServerEntry): Promise<ServerReport> {
        const response = await this.request(server, "GET", this.dialect.reportPath, undefined);
        const report = response.head.status === 200 ? this.dialect.parseReport(response.body) : undefined;
        if (report === undefined) {
            throw new ConnectionFailedError(server.id, ConnectionFailure.protocol, true);
        }
        return report;
    }

    async isHealthy(server: ServerEntry, healthPath: string): Promise<boolean> {
        const { head } = await this.request(server, "GET", healthPath, undefined);
        return head.status === 200;
    }

    async placeLayers(server: ServerEntry, layers: LayerRange, ordersBegun: number): Promise<OrderOutcome> {
        return this.sendOrder(server, this.dialect.formatPlaceLayersOrder(layers, ordersBegun));
    }

    changePath(server: ServerEntry, requestId: string, path: readonly PathPart[]): Promise<OrderOutcome> {
        return this.sendOrder(server, this.dialect.formatChangePathOrder(requestId, path));
    }

    private async sendOrder(server: ServerEntry, body: Buffer): Promise<OrderOutcome> {
        const { head } = await this.request(server, "POST", this.dialect.orderPath, body);
        switch (head.status) {
            case 202:
                return OrderOutcome.begun;
            case 200:
                return OrderOutcome.alreadyHeld;
            case 409:
                return OrderOutcome.conflict;
            default:
                return OrderOutcome.refused;
        }
    }

    private request(
        server: ServerEntry,
        method: string,
        path: string,
        body: Buffer | undefined,
    ): Promise<BufferedResponse> {
        const headers = ["Host", formatSocketAddress(server.address), "Connection", "close"];
        if (body !== undefined) {
            headers.push("Content-Type", "application/json", "Content-Length", String(body.length));
        }
        headers.push(this.dialect.headers.expectedServer, server.id);
        return readResponse(server, { method, path, headers: () => headers, body }, {
            connectTimeoutMilliseconds,
            deadline: monotonicNow() + callTimeoutMilliseconds,
            callerGone: undefined,
            responseObserver: this.responseObserver,
            failures: this.failures,
            maximumBytes: maximumResponseBytes,
        });
    }
}
