/**
 * Sends placement orders to backend servers. An order to a server that ignores fencing numbers waits until no order of
 * the previous holder can take effect, and a load also waits for the weight store's rate limit. The lease is checked
 * directly before an order is sent. If no answer arrives, the backend server's holdings are read, and an order that is
 * not reported as completed is sent again with the same ID.
 */
import { randomUUID } from "node:crypto";
import { delay } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { BackendServerDescription } from "../../domain/backend-server.js";
import {
    type HoldingsReport,
    type OrderReply,
    OrderResult,
    type PlacementOrder,
} from "../../domain/engine-protocol.js";
import { OrderNotSentError, OrderTimeoutError } from "../../errors/index.js";
import {
    loadTimeoutFactor,
    orderAttemptLimit,
    orderRetryMilliseconds,
    orderTimeoutMilliseconds,
    readHoldingsTimeoutMilliseconds,
} from "./constants.js";
import type { PlacementLease } from "./placement-lease.js";
import type { TransitionStep } from "./transition.js";
import type { WeightStoreRateLimiter } from "./weight-store-rate-limiter.js";

export const OrderOutcome = {
    done: "done",
    refused: "refused",
    /** The backend server rejected the order because it has seen a higher fencing number. */
    stale: "stale",
    /** No answer to any attempt, and the order is not reported as completed. */
    unreachable: "unreachable",
    /** The lease is not held, or the execution was aborted. */
    notSent: "not-sent",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Outcome of an order, with the backend server's holdings after it if they could be read. */
export interface SendResult {
    readonly outcome: OrderOutcome;
    readonly report?: HoldingsReport;
    readonly message?: string;
}

export class OrderSender {
    constructor(
        private readonly lease: PlacementLease,
        private readonly connections: BackendServerConnections,
        private readonly weightStoreLimiter: WeightStoreRateLimiter,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
    ) {}

    /** Sends a step's order, again if needed, until its outcome is known or no attempts are left. Never rejects. */
    async send(server: BackendServerDescription, step: TransitionStep, signal: AbortSignal): Promise<SendResult> {
        const orderId = randomUUID();
        for (let attempt = 0; attempt < orderAttemptLimit; attempt++) {
            try {
                const reply = await this.sendOnce(server, step, orderId, signal);
                return this.toSendResult(server, step, reply);
            }
            catch (error) {
                if (error instanceof OrderNotSentError) {
                    return { outcome: OrderOutcome.notSent, message: error.message };
                }
                this.logger.warn("placement order was not answered; reading the holdings of the backend server", {
                    backendServer: server.id,
                    error: String(error),
                });
            }
            const report = await this.readHoldings(server);
            if (report?.completedOrders.includes(orderId) === true) {
                return { outcome: OrderOutcome.done, report };
            }
            if (report === undefined && attempt > 0) {
                break;
            }
            await delay(orderRetryMilliseconds, signal);
        }
        this.metrics.increment("pomelostall.placement.orders", 1, { outcome: OrderOutcome.unreachable });
        return { outcome: OrderOutcome.unreachable, report: await this.readHoldings(server) };
    }

    /** Reads the holdings of the backend server; undefined if it does not answer in time. */
    async readHoldings(server: BackendServerDescription): Promise<HoldingsReport | undefined> {
        const connection = this.connections.get(server.id, server.address);
        try {
            return await withTimeout(
                connection.readHoldings(readHoldingsTimeoutMilliseconds),
                readHoldingsTimeoutMilliseconds,
                server.id,
            );
        }
        catch {
            return undefined;
        }
    }

    private async toSendResult(
        server: BackendServerDescription,
        step: TransitionStep,
        reply: OrderReply,
    ): Promise<SendResult> {
        const outcome = reply.result === OrderResult.done ? OrderOutcome.done : reply.result;
        this.metrics.increment("pomelostall.placement.orders", 1, { outcome, kind: step.action.kind });
        return { outcome, report: await this.readHoldings(server), message: reply.message };
    }

    private async sendOnce(
        server: BackendServerDescription,
        step: TransitionStep,
        orderId: string,
        signal: AbortSignal,
    ): Promise<OrderReply> {
        await this.waitForPreviousHolder(server, signal);
        if (step.bytes > 0) {
            await this.weightStoreLimiter.reserve(step.bytes, signal);
        }
        const timeoutMilliseconds = this.computeTimeoutMilliseconds(step);
        const connection = this.connections.get(server.id, server.address);
        // No await may be added between this check and the call that sends the order, or the lease could expire.
        const { fencingNumber } = this.lease;
        if (signal.aborted || fencingNumber === undefined || !this.lease.maySendOrders(server.class.honoursFencing)) {
            throw new OrderNotSentError(server.id);
        }
        const order: PlacementOrder = { orderId, fencingNumber, timeoutMilliseconds, action: step.action };
        return withTimeout(connection.sendOrder(order), timeoutMilliseconds, server.id);
    }

    private computeTimeoutMilliseconds(step: TransitionStep): number {
        const loadAllowanceMilliseconds = this.weightStoreLimiter.loadMilliseconds(step.bytes) * loadTimeoutFactor;
        return Math.min(this.lease.longestOrderMilliseconds, orderTimeoutMilliseconds + loadAllowanceMilliseconds);
    }

    private async waitForPreviousHolder(server: BackendServerDescription, signal: AbortSignal): Promise<void> {
        while (this.lease.isHeld && !this.lease.maySendOrders(server.class.honoursFencing) && !signal.aborted) {
            await delay(Math.min(this.lease.settleMilliseconds, orderTimeoutMilliseconds), signal);
        }
    }
}

async function withTimeout<Value>(call: Promise<Value>, milliseconds: number, backendServer: string): Promise<Value> {
    let timer: ReturnType<typeof setTimeout> | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => reject(new OrderTimeoutError(backendServer, milliseconds)), milliseconds);
    });
    try {
        return await Promise.race([call, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}
