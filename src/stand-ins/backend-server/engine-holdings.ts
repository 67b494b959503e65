/** The model layers and adapters that an engine has loaded, its role, and the placement orders that change them. */
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

/** Model layers, and optionally an adapter, that an attempt needs. */
export interface HoldingRequirement {
    readonly model: string;
    readonly modelVersion: string;
    readonly adapter?: string;
    readonly layers: LayerRange;
}

export class EngineHoldings {
    holdings: readonly Holding[];
    role: ServingRole;
    /** Highest fencing number received; stays 0 if the backend server's class does not honour fencing. */
    fencingNumber = 0;
    private readonly replies = new Map<string, Promise<OrderReply>>();
    private readonly unloading = new Set<Holding>();

    constructor(
        private readonly options: EngineHoldingsOptions,
        private readonly weightStore: WeightStore,
        private readonly record: EngineRecord,
        private readonly isInUse: (holding: Holding) => boolean,
        private readonly onChanged: () => void,
    ) {
        this.holdings = options.holdings;
        this.role = options.role;
    }

    holds(requirement: HoldingRequirement): boolean {
        return this.holdings.some(holding =>
            holding.model === requirement.model && holding.modelVersion === requirement.modelVersion
            && containsRange(holding.layers, requirement.layers) && !this.unloading.has(holding)
            && (requirement.adapter === undefined || holding.adapters.includes(requirement.adapter))
        );
    }

    /** Executes each order once; a repeated order ID gets the reply to the first. */
    order(order: PlacementOrder, credential: string | undefined): Promise<OrderReply> {
        const { class: serverClass, orderCredential } = this.options;
        if (serverClass.checksOrders && credential !== orderCredential) {
            return Promise.resolve(createReply(order, OrderResult.refused, "unknown credential"));
        }
        const earlierReply = this.replies.get(order.orderId);
        if (earlierReply !== undefined) {
            return earlierReply;
        }
        const reply = this.execute(order);
        this.replies.set(order.orderId, reply);
        return reply;
    }

    private async execute(order: PlacementOrder): Promise<OrderReply> {
        if (this.isStale(order)) {
            return createReply(order, OrderResult.stale, `fencing number ${this.fencingNumber} was seen`);
        }
        const refusal = await this.apply(order.action, monotonicNow() + order.timeoutMilliseconds, order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.record.completedOrders.push(order);
        this.onChanged();
        return createReply(order, OrderResult.done);
    }

    /** Whether the order is stale; if not, records its fencing number as the highest received. */
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
        if (this.findHolding(action) !== undefined) {
            return undefined;
        }
        const bytes = layerCount(action.layers) * this.options.layerBytes;
        const heldLayers = this.holdings.reduce((total, holding) => total + layerCount(holding.layers), 0);
        if (heldLayers * this.options.layerBytes + bytes > this.options.class.memoryBytes) {
            return createReply(order, OrderResult.refused, "not enough memory");
        }
        if (monotonicNow() + this.weightStore.expectedMilliseconds(bytes) > deadline) {
            return createReply(order, OrderResult.refused, "the weights cannot be loaded in time");
        }
        await this.weightStore.fetch(bytes);
        if (this.isStale(order)) {
            return createReply(order, OrderResult.stale, "a newer order arrived while the weights were loaded");
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
        const holding = this.findHolding(action);
        if (holding === undefined) {
            return undefined;
        }
        this.unloading.add(holding);
        while (this.isInUse(holding) && monotonicNow() < deadline) {
            await delay(unloadPollMilliseconds);
        }
        this.unloading.delete(holding);
        if (this.isInUse(holding)) {
            return createReply(order, OrderResult.refused, "the layers are still in use");
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

    private findHolding(action: OrderAction & { kind: "load" | "unload"; }): Holding | undefined {
        return this.holdings.find(holding =>
            holding.model === action.model && holding.modelVersion === action.modelVersion
            && layerRangesEqual(holding.layers, action.layers)
        );
    }
}

function createReply(order: PlacementOrder, result: OrderResult, message?: string): OrderReply {
    return { orderId: order.orderId, result, message };
}
