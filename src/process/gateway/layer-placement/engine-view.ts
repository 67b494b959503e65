/** What the leader knows of one engine: what it holds, what it was ordered to hold, and whether it answers. */
import { monotonicNow } from "../../../common/clock.js";
import type { Logger } from "../../../common/logger.js";
import { OrderOutcome, type ServerEntry, type ServerReport } from "../../../domain/gateway/server-entry.js";
import { formatLayerRange, type LayerRange, layerRangesEqual } from "../../../domain/layers.js";

/** Reports in a row that must fail before an engine is taken as lost: one may be lost on the way. */
const failuresUntilLost = 2;
/** Health checks in a row that must fail before an engine is taken as leaving: one may meet a full queue. */
const checksUntilLeaving = 2;
/** Pause between reports of an engine that is suspected or was found lost. */
const suspectReportMilliseconds = 500;
/** An engine that carries out an order is asked this often once its load should be over. */
const orderReportMilliseconds = 300;
/** An order that has not begun to show after this time beyond its load is given up. */
const orderSlackMilliseconds = 4_000;
/** After a refused order nothing is ordered for this long. */
const refusalPauseMilliseconds = 1_000;

interface Order {
    readonly range: LayerRange;
    readonly sentAt: number;
    readonly loadMilliseconds: number;
}

export class EngineView {
    server: ServerEntry;
    private held: LayerRange | undefined;
    private order: Order | undefined;
    private failures = 0;
    private unhealthyChecks = 0;
    private asking = false;
    private askAgainAt = 0;
    private pausedUntil = 0;

    constructor(server: ServerEntry, private readonly logger: Logger) {
        this.server = server;
        this.held = server.layers;
    }

    /** Layers for which requests may be sent to it now. */
    get holds(): LayerRange | undefined {
        return this.held;
    }

    /** Layers that it holds or is about to hold. */
    get range(): LayerRange | undefined {
        return this.order?.range ?? this.held;
    }

    /** Whether an order is under way. */
    get ordering(): boolean {
        return this.order !== undefined || this.pausedUntil > monotonicNow();
    }

    get lost(): boolean {
        return this.failures >= failuresUntilLost;
    }

    /** It answers, refuses requests, and says itself that it is not well or leaves; the registry may not say so yet. */
    get leaving(): boolean {
        return this.unhealthyChecks >= checksUntilLeaving;
    }

    /** Whether it may hold layers and take requests. */
    get usable(): boolean {
        return !this.lost && !this.leaving;
    }

    get differsFromRegistry(): boolean {
        return !this.usable || !sameRange(this.held, this.server.layers);
    }

    /** Takes the registry's entry; its layers count where they have changed. */
    updateEntry(server: ServerEntry): void {
        if (!sameRange(server.layers, this.server.layers)) {
            this.applyLayers(server.layers);
        }
        this.server = server;
    }

    needsReport(suspected: boolean): boolean {
        const now = monotonicNow();
        if (this.asking || now < this.askAgainAt) {
            return false;
        }
        const overdue = this.order !== undefined && now > this.order.sentAt + this.order.loadMilliseconds;
        return suspected || this.failures > 0 || this.unhealthyChecks > 0 || overdue;
    }

    reportAsked(): void {
        this.asking = true;
    }

    applyReport(report: ServerReport): void {
        this.asking = false;
        if (this.lost) {
            this.logger.info("engine answers again", { server: this.server.id });
        }
        this.failures = 0;
        this.askAgainAt = monotonicNow()
            + (this.order === undefined ? suspectReportMilliseconds : orderReportMilliseconds);
        if (report.bornAt === this.server.bornAt) {
            this.applyLayers(report.layers);
        }
        this.giveUpOverdueOrder(report.busy);
    }

    applyHealth(healthy: boolean): void {
        const leftBefore = this.leaving;
        this.unhealthyChecks = healthy ? 0 : this.unhealthyChecks + 1;
        if (this.leaving !== leftBefore) {
            this.logger.warn("engine says that it leaves, or stays after all", {
                server: this.server.id,
                leaving: this.leaving,
            });
        }
    }

    reportFailed(reason: string): void {
        this.asking = false;
        this.failures++;
        this.askAgainAt = this.lost ? monotonicNow() + suspectReportMilliseconds : 0;
        if (this.failures === failuresUntilLost) {
            this.order = undefined;
            this.logger.warn("engine is lost", { server: this.server.id, reason });
        }
    }

    /** False if an order is already under way. */
    beginOrder(range: LayerRange, loadMilliseconds: number): boolean {
        if (this.ordering) {
            return false;
        }
        this.order = { range, loadMilliseconds, sentAt: monotonicNow() };
        return true;
    }

    isOrdered(range: LayerRange): boolean {
        return this.order?.range === range;
    }

    cancelOrder(range: LayerRange): void {
        if (this.isOrdered(range)) {
            this.order = undefined;
            this.pausedUntil = monotonicNow() + refusalPauseMilliseconds;
        }
    }

    applyOutcome(range: LayerRange, outcome: OrderOutcome): void {
        switch (outcome) {
            case OrderOutcome.begun:
                // Layers that are given up take nothing new from now on.
                this.held = intersect(this.held, range);
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
        if (this.order !== undefined && sameRange(layers, this.order.range)) {
            this.logger.info("engine holds its new layers", {
                server: this.server.id,
                layers: formatLayerRange(this.order.range),
                milliseconds: Math.round(monotonicNow() - this.order.sentAt),
            });
            this.order = undefined;
        }
        this.held = this.order === undefined ? layers : intersect(layers, this.order.range);
    }

    private giveUpOverdueOrder(busy: boolean): void {
        const { order } = this;
        if (
            order !== undefined && !busy
            && monotonicNow() > order.sentAt + order.loadMilliseconds + orderSlackMilliseconds
        ) {
            this.logger.warn("order without effect", { server: this.server.id, layers: formatLayerRange(order.range) });
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
