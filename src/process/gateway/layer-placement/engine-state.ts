/** The placement leader's view of one model engine: the layers it holds, its pending order, and its health. */
import { monotonicNow } from "../../../common/clock.js";
import type { Logger } from "../../../common/logger.js";
import {
    isSameStart,
    OrderOutcome,
    type ServerEntry,
    type ServerReport,
} from "../../../domain/gateway/server-entry.js";
import { formatLayerRange, type LayerRange, layerRangesEqual } from "../../../domain/layers.js";

/** Consecutive failed report requests after which an engine counts as unreachable; one alone may be a network fault. */
const failedReportThreshold = 2;
/** Consecutive failed health checks after which an engine counts as leaving; one alone may be due to a full queue. */
const failedHealthCheckThreshold = 2;
/** Interval between report requests to an engine that is excluded from new requests, unhealthy or unreachable. */
const unhealthyPollIntervalMilliseconds = 500;
/** Interval between report requests to an engine whose order has taken longer than its expected load time. */
const orderPollIntervalMilliseconds = 300;
/** An order is abandoned if the engine is idle without the ordered layers this long after the expected load time. */
const orderGraceMilliseconds = 4_000;
/** Time without new orders after an order was cancelled or refused. */
const refusalBackoffMilliseconds = 1_000;

interface Order {
    readonly targetLayers: LayerRange;
    /** Monotonic time. */
    readonly sentAt: number;
    /** Expected time to load the layers. */
    readonly loadMilliseconds: number;
}

export class EngineState {
    server: ServerEntry;
    private heldLayers: LayerRange | undefined;
    private order: Order | undefined;
    private failedReports = 0;
    private failedHealthChecks = 0;
    private reportPending = false;
    private nextReportAt = 0;
    private backoffUntil = 0;

    constructor(server: ServerEntry, private readonly logger: Logger) {
        this.server = server;
        this.heldLayers = server.layers;
    }

    /** Layers for which requests may be sent to the engine now. */
    get servableLayers(): LayerRange | undefined {
        return this.heldLayers;
    }

    /** Layers of the pending order, or else the layers that the engine holds. */
    get expectedLayers(): LayerRange | undefined {
        return this.order?.targetLayers ?? this.heldLayers;
    }

    /** Whether no new order may be sent, due to a pending order or the backoff after a cancelled or refused one. */
    get orderBlocked(): boolean {
        return this.order !== undefined || this.backoffUntil > monotonicNow();
    }

    get unreachable(): boolean {
        return this.failedReports >= failedReportThreshold;
    }

    /**
     * Whether the engine answers report requests, but its health endpoint says that it is unhealthy or shutting down.
     * The registry may not show this yet.
     */
    get leaving(): boolean {
        return this.failedHealthChecks >= failedHealthCheckThreshold;
    }

    /** Whether the engine may be assigned layers and receive requests. */
    get usable(): boolean {
        return !this.unreachable && !this.leaving;
    }

    /** Whether the other routers need a notice, since the registry does not show the engine's state. */
    get differsFromRegistry(): boolean {
        return !this.usable || !sameRange(this.heldLayers, this.server.layers);
    }

    /** Applies the registry entry; its layers replace the known ones only if they differ from the previous entry's. */
    updateEntry(server: ServerEntry): void {
        if (!sameRange(server.layers, this.server.layers)) {
            this.applyLayers(server.layers);
        }
        this.server = server;
    }

    /** Whether a report should be requested now. */
    needsReport(excluded: boolean): boolean {
        const now = monotonicNow();
        if (this.reportPending || now < this.nextReportAt) {
            return false;
        }
        const overdue = this.order !== undefined && now > this.order.sentAt + this.order.loadMilliseconds;
        return excluded || this.failedReports > 0 || this.failedHealthChecks > 0 || overdue;
    }

    markReportRequested(): void {
        this.reportPending = true;
    }

    applyReport(report: ServerReport): void {
        this.reportPending = false;
        if (this.unreachable) {
            this.logger.info("unreachable engine answers report requests again", { server: this.server.id });
        }
        this.failedReports = 0;
        this.nextReportAt = monotonicNow()
            + (this.order === undefined ? unhealthyPollIntervalMilliseconds : orderPollIntervalMilliseconds);
        if (isSameStart({ id: this.server.id, bornAt: report.bornAt }, this.server)) {
            this.applyLayers(report.layers);
        }
        this.abandonOverdueOrder(report.busy);
    }

    applyHealth(healthy: boolean): void {
        const leavingBefore = this.leaving;
        this.failedHealthChecks = healthy ? 0 : this.failedHealthChecks + 1;
        if (this.leaving !== leavingBefore) {
            this.logger.warn("engine's leaving state changed after a health check", {
                server: this.server.id,
                leaving: this.leaving,
            });
        }
    }

    applyReportFailure(reason: string): void {
        this.reportPending = false;
        this.failedReports++;
        this.nextReportAt = this.unreachable ? monotonicNow() + unhealthyPollIntervalMilliseconds : 0;
        if (this.failedReports === failedReportThreshold) {
            this.order = undefined;
            this.logger.warn("engine unreachable; its layers are placed on other engines", {
                server: this.server.id,
                reason,
            });
        }
    }

    /** Records an order that is about to be sent; false if orders are blocked. */
    beginOrder(range: LayerRange, loadMilliseconds: number): boolean {
        if (this.orderBlocked) {
            return false;
        }
        this.order = { targetLayers: range, loadMilliseconds, sentAt: monotonicNow() };
        return true;
    }

    /** Whether the pending order is the one that was begun with this range object. */
    isOrdered(range: LayerRange): boolean {
        return this.order?.targetLayers === range;
    }

    cancelOrder(range: LayerRange): void {
        if (this.isOrdered(range)) {
            this.order = undefined;
            this.backoffUntil = monotonicNow() + refusalBackoffMilliseconds;
        }
    }

    applyOutcome(range: LayerRange, outcome: OrderOutcome): void {
        switch (outcome) {
            case OrderOutcome.begun:
                // The layers that the order drops must receive no new requests from now on.
                this.heldLayers = intersect(this.heldLayers, range);
                break;
            case OrderOutcome.alreadyHeld:
                this.applyLayers(range);
                break;
            case OrderOutcome.conflict:
            case OrderOutcome.refused:
                this.cancelOrder(range);
        }
    }

    private applyLayers(layers: LayerRange | undefined): void {
        if (this.order !== undefined && sameRange(layers, this.order.targetLayers)) {
            this.logger.info("engine completed its order and holds the ordered layers", {
                server: this.server.id,
                layers: formatLayerRange(this.order.targetLayers),
                milliseconds: Math.round(monotonicNow() - this.order.sentAt),
            });
            this.order = undefined;
        }
        this.heldLayers = this.order === undefined ? layers : intersect(layers, this.order.targetLayers);
    }

    private abandonOverdueOrder(busy: boolean): void {
        const { order } = this;
        if (
            order !== undefined && !busy
            && monotonicNow() > order.sentAt + order.loadMilliseconds + orderGraceMilliseconds
        ) {
            this.logger.warn("engine did not load the ordered layers in time; order abandoned", {
                server: this.server.id,
                layers: formatLayerRange(order.targetLayers),
            });
            this.order = undefined;
        }
    }
}

function sameRange(left: LayerRange | undefined, right: LayerRange | undefined): boolean {
    return left === right || (left !== undefined && right !== undefined && layerRangesEqual(left, right));
}

function intersect(left: LayerRange | undefined, right: LayerRange): LayerRange | undefined {
    if (left === undefined) {
        return undefined;
    }
    const first = Math.max(left.first, right.first);
    const last = Math.min(left.last, right.last);
    return first <= last ? { first, last } : undefined;
}
