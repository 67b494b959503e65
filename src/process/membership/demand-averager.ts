/**
 * Estimates each customer's mean demand over all routers by push-pull gossip averaging. In each exchange two routers
 * set their estimates to the mean of both, which preserves the sum over the fleet; a change of a router's own demand is
 * added to its estimate at once. An exchange carries one slice of the customers, so that its cost does not grow with
 * routers times customers. The share of a dead router would distort the sum permanently, so every router restarts from
 * its own demand at each epoch. Until the new estimates have converged, those from the end of the last epoch are used.
 */
import { monotonicNow } from "../../common/clock.js";
import { hashText } from "./hashing.js";
import { dequantize, quantize } from "./quantize.js";
import { customersPerDemandSlice } from "./settings.js";
import type { DemandSlice } from "./types.js";

/** Keys are the upper bits of the 32-bit hash of a customer's name. */
const keyBits = 24;
/** At a new epoch, customers without demand at this router whose estimate is below this bound are removed. */
const negligibleTokensPerSecond = 0.001;

export interface DemandAveragerSettings {
    readonly demandEpochMilliseconds: number;
    readonly demandConvergenceMilliseconds: number;
}

interface CustomerDemand {
    /** This router's own demand in tokens per second. */
    own: number;
    /** Estimate of the mean over all routers, in tokens per second. */
    mean: number;
    /** The estimate at the end of the last epoch; undefined if the customer is new or no exchange had taken place. */
    lastEpochMean: number | undefined;
}

/** The key under which routers exchange a customer's demand. */
export function customerKey(customer: string): number {
    return hashText(customer) >>> (32 - keyBits);
}

export class DemandAverager {
    private epoch = 0;
    private epochStartedAt = monotonicNow();
    /** Whether at least one exchange with another router has taken place. */
    private hasExchanged = false;
    private sliceIndex = 0;
    private readonly customers = new Map<number, CustomerDemand>();

    constructor(private readonly settings: DemandAveragerSettings) {}

    /** Sets this router's own demand of a customer. */
    setOwnDemand(customer: string, tokensPerSecond: number): void {
        const demand = this.findOrCreateDemand(customerKey(customer));
        demand.mean += tokensPerSecond - demand.own;
        demand.own = tokensPerSecond;
    }

    /** The estimated mean of a customer's demand over all routers, in tokens per second; 0 for unknown customers. */
    mean(customer: string): number {
        const demand = this.customers.get(customerKey(customer));
        if (demand === undefined) {
            return 0;
        }
        const isConverging = monotonicNow() - this.epochStartedAt < this.settings.demandConvergenceMilliseconds;
        return Math.max(0, isConverging && demand.lastEpochMean !== undefined ? demand.lastEpochMean : demand.mean);
    }

    /** The next slice to send, in rotation; undefined if no customer is known. */
    createRequest(): DemandSlice | undefined {
        this.startEpochIfDue();
        if (this.customers.size === 0) {
            return undefined;
        }
        const sliceBits = Math.max(0, Math.ceil(Math.log2(this.customers.size / customersPerDemandSlice)));
        this.sliceIndex = (this.sliceIndex + 1) % 2 ** sliceBits;
        return this.createSlice(this.sliceIndex, sliceBits, this.keysInSlice(this.sliceIndex, sliceBits));
    }

    /** Averages with another router's slice. Returns this router's earlier values, for the peer to average with. */
    handleRequest(request: DemandSlice): DemandSlice {
        this.startEpochIfDue();
        this.adoptLaterEpoch(request.epoch);
        const existingKeys = this.keysInSlice(request.slice, request.sliceBits);
        const keys = [...new Set([...existingKeys, ...request.keys])].sort((left, right) => left - right);
        const reply = this.createSlice(request.slice, request.sliceBits, keys);
        if (request.epoch === this.epoch) {
            this.moveToMean(reply, request);
        }
        return reply;
    }

    /** Averages with the reply to a slice that this router sent. Slices of different epochs are not averaged. */
    handleReply(request: DemandSlice, reply: DemandSlice): void {
        this.adoptLaterEpoch(reply.epoch);
        if (request.epoch === this.epoch && reply.epoch === this.epoch) {
            this.moveToMean(request, reply);
        }
    }

    /** Moves each estimate by half the difference; the peer applies the opposite change, so the sum is preserved. */
    private moveToMean(own: DemandSlice, other: DemandSlice): void {
        this.hasExchanged = true;
        const ownValues = valuesByKey(own);
        const otherValues = valuesByKey(other);
        for (const key of new Set([...own.keys, ...other.keys])) {
            const difference = (otherValues.get(key) ?? 0) - (ownValues.get(key) ?? 0);
            if (difference !== 0) {
                this.findOrCreateDemand(key).mean += difference / 2;
            }
        }
    }

    private startEpochIfDue(): void {
        if (monotonicNow() - this.epochStartedAt >= this.settings.demandEpochMilliseconds) {
            this.startEpoch(this.epoch + 1);
        }
    }

    private adoptLaterEpoch(epoch: number): void {
        if (epoch > this.epoch) {
            this.startEpoch(epoch);
        }
    }

    private startEpoch(epoch: number): void {
        this.epoch = epoch;
        this.epochStartedAt = monotonicNow();
        for (const [key, demand] of this.customers) {
            const epochEndMean = demand.mean;
            demand.lastEpochMean = this.hasExchanged ? epochEndMean : undefined;
            demand.mean = demand.own;
            if (demand.own === 0 && Math.abs(epochEndMean) < negligibleTokensPerSecond) {
                this.customers.delete(key);
            }
        }
    }

    private findOrCreateDemand(key: number): CustomerDemand {
        const entry = this.customers.get(key) ?? { own: 0, mean: 0, lastEpochMean: undefined };
        this.customers.set(key, entry);
        return entry;
    }

    private keysInSlice(slice: number, sliceBits: number): number[] {
        return [...this.customers.keys()]
            .filter(key => key >>> (keyBits - sliceBits) === slice)
            .sort((left, right) => left - right);
    }

    private createSlice(slice: number, sliceBits: number, keys: readonly number[]): DemandSlice {
        const values = keys.map(key => quantize(this.customers.get(key)?.mean ?? 0));
        return { epoch: this.epoch, slice, sliceBits, keys, values };
    }
}

function valuesByKey(slice: DemandSlice): Map<number, number> {
    return new Map(slice.keys.map((key, index) => [key, dequantize(slice.values[index] ?? 0)]));
}
