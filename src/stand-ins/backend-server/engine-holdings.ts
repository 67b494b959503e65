/** What an engine holds, and the orders that change it. */
import { delay, monotonicNow } from "../../common/clock.js";
import type { BackendServerClass, Holding } from "../../domain/backend-server.js";
import type { ServingRole } from "../../domain/backend-server.js";
import { type OrderAction, type OrderReply, OrderResult, type PlacementOrder } from "../../domain/engine-protocol.js";
import { containsRange, layerCount, type LayerRange, layerRangesEqual } from "../../domain/layers.js";
import { unloadPollMilliseconds } from "./constants.js";
import type { EngineRecord } from "./record.js";
import type { WeightStore } from "./weight-store.js";

export interface EngineHoldingsOptions {
    readonly class: BackendServerClass;
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
    readonly layerBytes: number;
    readonly orderCredential?: string;
}

/** A model's layers that an attempt needs. */
export interface HoldingNeed {
    readonly model: string;
    readonly modelVersion: string;
    readonly adapter?: string;
    readonly layers: LayerRange;
}

export class EngineHoldings {
    holdings: readonly Holding[];
    role: ServingRole;
    /** Highest number seen; stays 0 where the class ignores it. */
    fencingNumber = 0;
    private readonly replies = new Map<string, Promise<OrderReply>>();
    private readonly removing = new Set<Holding>();

    constructor(
        private readonly options: EngineHoldingsOptions,
        private readonly weightStore: WeightStore,
        private readonly record: EngineRecord,
        private readonly inUse: (holding: Holding) => boolean,
        private readonly changed: () => void,
    ) {
        this.holdings = options.holdings;
        this.role = options.role;
    }

    holds(need: HoldingNeed): boolean {
        return this.holdings.some(holding =>
            holding.model === need.model && holding.modelVersion === need.modelVersion
            && containsRange(holding.layers, need.layers) && !this.removing.has(holding)
            && (need.adapter === undefined || holding.adapters.includes(need.adapter))
        );
    }

    /** Carries out an order once; a repeated order gets the first one's reply. */
    order(order: PlacementOrder, credential: string | undefined): Promise<OrderReply> {
        const { class: serverClass, orderCredential } = this.options;
        if (serverClass.checksOrders && credential !== orderCredential) {
            return Promise.resolve(reply(order, OrderResult.refused, "unknown credential"));
        }
        const known = this.replies.get(order.orderId);
        if (known !== undefined) {
            return known;
        }
        const result = this.carryOut(order);
        this.replies.set(order.orderId, result);
        return result;
    }

    private async carryOut(order: PlacementOrder): Promise<OrderReply> {
        if (this.isStale(order)) {
            return reply(order, OrderResult.stale, `fencing number ${this.fencingNumber} was seen`);
        }
        const refusal = await this.apply(order.action, monotonicNow() + order.timeoutMilliseconds, order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.record.completedOrders.push(order);
        this.changed();
        return reply(order, OrderResult.done);
    }

    private isStale(order: PlacementOrder): boolean {
        if (!this.options.class.honoursFencing) {
            return false;
        }
        if (order.fencingNumber < this.fencingNumber) {
            return true;
        }
        this.fencingNumber = order.fencingNumber;
        return false;
    }

    private async apply(
        action: OrderAction,
        deadline: number,
        order: PlacementOrder,
    ): Promise<OrderReply | undefined> {
        switch (action.kind) {
            case "load":
                return this.load(action, deadline, order);
            case "unload":
                return this.unload(action, deadline, order);
            case "load-adapter":
            case "unload-adapter":
                this.changeAdapter(action);
                return undefined;
            case "change-role":
                this.role = action.role;
                return undefined;
        }
    }

    private async load(
        action: OrderAction & { kind: "load"; },
        deadline: number,
        order: PlacementOrder,
    ): Promise<OrderReply | undefined> {
        if (this.find(action) !== undefined) {
            return undefined;
        }
        const bytes = layerCount(action.layers) * this.options.layerBytes;
        const held = this.holdings.reduce((total, holding) => total + layerCount(holding.layers), 0);
        if (held * this.options.layerBytes + bytes > this.options.class.memoryBytes) {
            return reply(order, OrderResult.refused, "not enough memory");
        }
        if (monotonicNow() + this.weightStore.expectedMilliseconds(bytes) > deadline) {
            return reply(order, OrderResult.refused, "the weights cannot be loaded in time");
        }
        await this.weightStore.fetch(bytes);
        if (this.isStale(order)) {
            return reply(order, OrderResult.stale, "a newer order arrived while the weights were loaded");
        }
        const { model, modelVersion, layers } = action;
        this.holdings = [...this.holdings, { model, modelVersion, layers, adapters: [] }];
        return undefined;
    }

    private async unload(
        action: OrderAction & { kind: "unload"; },
        deadline: number,
        order: PlacementOrder,
    ): Promise<OrderReply | undefined> {
        const holding = this.find(action);
        if (holding === undefined) {
            return undefined;
        }
        this.removing.add(holding);
        while (this.inUse(holding) && monotonicNow() < deadline) {
            await delay(unloadPollMilliseconds);
        }
        this.removing.delete(holding);
        if (this.inUse(holding)) {
            return reply(order, OrderResult.refused, "the layers are still in use");
        }
        this.holdings = this.holdings.filter(other => other !== holding);
        return undefined;
    }

    private changeAdapter(action: OrderAction & { kind: "load-adapter" | "unload-adapter"; }): void {
        this.holdings = this.holdings.map(holding => {
            if (holding.model !== action.model || holding.modelVersion !== action.modelVersion) {
                return holding;
            }
            const others = holding.adapters.filter(adapter => adapter !== action.adapter);
            return { ...holding, adapters: action.kind === "load-adapter" ? [...others, action.adapter] : others };
        });
    }

    private find(action: OrderAction & { kind: "load" | "unload"; }): Holding | undefined {
        return this.holdings.find(holding =>
            holding.model === action.model && holding.modelVersion === action.modelVersion
            && layerRangesEqual(holding.layers, action.layers)
        );
    }
}

function reply(order: PlacementOrder, result: OrderResult, message?: string): OrderReply {
    return { orderId: order.orderId, result, message };
}
