/**
 * Sends one order: checks the lease right before, waits for the weight store, repeats an order whose answer was lost
 * under the same ID, and reads back what the backend server holds when the answer stays away.
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
    loadTimeAllowance,
    orderAttemptLimit,
    orderRetryMilliseconds,
    orderTimeoutMilliseconds,
    readHoldingsTimeoutMilliseconds,
} from "./constants.js";
import type { PlacementLease } from "./placement-lease.js";
import type { TransitionStep } from "./transition.js";
import type { WeightStorePacer } from "./weight-store-pacer.js";

export const OrderOutcome = {
    done: "done",
    refused: "refused",
    /** The backend server has seen a higher fencing number. */
    stale: "stale",
    /** No answer, and the holdings can't be read either. */
    unreachable: "unreachable",
    /** The lease is not held, or the work was stopped. */
    notSent: "not-sent",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** How an order ended, with what the backend server holds since, if that could be read. */
export interface OrderSettlement {
    readonly outcome: OrderOutcome;
    readonly report?: HoldingsReport;
    readonly message?: string;
}

export class OrderSender {
    constructor(
        private readonly lease: PlacementLease,
        private readonly connections: BackendServerConnections,
        private readonly pacer: WeightStorePacer,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
    ) {}

    /** Sends a step's order until its outcome is known or its attempts are used up. Never rejects. */
    async send(server: BackendServerDescription, step: TransitionStep, signal: AbortSignal): Promise<OrderSettlement> {
        const orderId = randomUUID();
        for (let attempt = 0; attempt < orderAttemptLimit; attempt++) {
            try {
                const reply = await this.sendOnce(server, step, orderId, signal);
                return this.settle(server, step, reply);
            }
            catch (error) {
                if (error instanceof OrderNotSentError) {
                    return { outcome: OrderOutcome.notSent, message: error.message };
                }
                this.logger.warn("an order was not answered", { backendServer: server.id, error: String(error) });
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

    /** What the backend server holds, or undefined when it does not answer in time. */
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

    private async settle(
        server: BackendServerDescription,
        step: TransitionStep,
        reply: OrderReply,
    ): Promise<OrderSettlement> {
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
        await this.waitForEarlierHolder(server, signal);
        if (step.bytes > 0) {
            await this.pacer.reserve(step.bytes, signal);
        }
        const timeoutMilliseconds = this.timeout(step);
        const connection = this.connections.get(server.id, server.address);
        // Nothing may come between this check and the call that sends the order.
        const { fencingNumber } = this.lease;
        if (signal.aborted || fencingNumber === undefined || !this.lease.mayOrder(server.class.honoursFencing)) {
            throw new OrderNotSentError(server.id);
        }
        const order: PlacementOrder = { orderId, fencingNumber, timeoutMilliseconds, action: step.action };
        return withTimeout(connection.sendOrder(order), timeoutMilliseconds, server.id);
    }

    private timeout(step: TransitionStep): number {
        const loading = this.pacer.loadMilliseconds(step.bytes) * loadTimeAllowance;
        return Math.min(this.lease.longestOrderMilliseconds, orderTimeoutMilliseconds + loading);
    }

    private async waitForEarlierHolder(server: BackendServerDescription, signal: AbortSignal): Promise<void> {
        while (this.lease.isHeld && !this.lease.mayOrder(server.class.honoursFencing) && !signal.aborted) {
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
