/**
 * Averages each customer's demand over all routers by push and pull. Two routers that talk move their values to the
 * mean, so the sum over all stays the same; a router's own change is added at once. Each step carries one slice of the
 * customers, so the cost does not grow with routers times customers. What a dead router takes with it would stay an
 * error for ever, so all start again from their own demand at each epoch. Until the new values have settled, those from
 * the end of the last epoch are used.
 */
import { monotonicNow } from "../../common/clock.js";
import { hashText } from "./hashing.js";
import { dequantize, quantize } from "./quantize.js";
import { demandSliceCustomers } from "./settings.js";
import type { DemandSlice } from "./types.js";

const keyBits = 24;
const negligible = 0.001;

export interface DemandAverageSettings {
    readonly demandEpochMilliseconds: number;
    readonly demandSettleMilliseconds: number;
}

interface CustomerDemand {
    own: number;
    /** Estimate of the mean over all routers. */
    mean: number;
    /** The estimate at the end of the last epoch; undefined for a customer, or router, that was not there. */
    settled: number | undefined;
}

/** The key under which routers exchange a customer's demand. */
export function customerKey(customer: string): number {
    return hashText(customer) >>> (32 - keyBits);
}

export class DemandAverage {
    private epoch = 0;
    private epochStart = monotonicNow();
    /** Whether any other router has taken part. */
    private hasExchanged = false;
    private nextSlice = 0;
    private readonly customers = new Map<number, CustomerDemand>();

    constructor(private readonly settings: DemandAverageSettings) {}

    /** Sets this router's own demand. */
    report(customer: string, tokensPerSecond: number): void {
        const demand = this.demand(customerKey(customer));
        demand.mean += tokensPerSecond - demand.own;
        demand.own = tokensPerSecond;
    }

    /** The estimated mean of a customer's demand over all routers. */
    mean(customer: string): number {
        const demand = this.customers.get(customerKey(customer));
        if (demand === undefined) {
            return 0;
        }
        const settling = monotonicNow() - this.epochStart < this.settings.demandSettleMilliseconds;
        return Math.max(0, settling && demand.settled !== undefined ? demand.settled : demand.mean);
    }

    /** The next slice to send. */
    nextRequest(): DemandSlice | undefined {
        this.checkEpoch();
        if (this.customers.size === 0) {
            return undefined;
        }
        const sliceBits = Math.max(0, Math.ceil(Math.log2(this.customers.size / demandSliceCustomers)));
        this.nextSlice = (this.nextSlice + 1) % 2 ** sliceBits;
        return this.slice(this.nextSlice, sliceBits, this.keysOf(this.nextSlice, sliceBits));
    }

    /** Answers another router's slice with the values before both moved to the mean. */
    answer(request: DemandSlice): DemandSlice {
        this.checkEpoch();
        this.followEpoch(request.epoch);
        const known = this.keysOf(request.slice, request.sliceBits);
        const keys = [...new Set([...known, ...request.keys])].sort((left, right) => left - right);
        const reply = this.slice(request.slice, request.sliceBits, keys);
        if (request.epoch === this.epoch) {
            this.move(reply, request);
        }
        return reply;
    }

    /** Takes the answer to a slice in. */
    settle(request: DemandSlice, reply: DemandSlice): void {
        this.followEpoch(reply.epoch);
        if (request.epoch === this.epoch && reply.epoch === this.epoch) {
            this.move(request, reply);
        }
    }

    /** Moves each value by half the difference, which is what the other side does with the opposite sign. */
    private move(own: DemandSlice, other: DemandSlice): void {
        this.hasExchanged = true;
        const ownValues = valuesByKey(own);
        const otherValues = valuesByKey(other);
        for (const key of new Set([...own.keys, ...other.keys])) {
            const difference = (otherValues.get(key) ?? 0) - (ownValues.get(key) ?? 0);
            if (difference !== 0) {
                this.demand(key).mean += difference / 2;
            }
        }
    }

    private checkEpoch(): void {
        if (monotonicNow() - this.epochStart >= this.settings.demandEpochMilliseconds) {
            this.startEpoch(this.epoch + 1);
        }
    }

    private followEpoch(epoch: number): void {
        if (epoch > this.epoch) {
            this.startEpoch(epoch);
        }
    }

    private startEpoch(epoch: number): void {
        this.epoch = epoch;
        this.epochStart = monotonicNow();
        for (const [key, demand] of this.customers) {
            const last = demand.mean;
            demand.settled = this.hasExchanged ? last : undefined;
            demand.mean = demand.own;
            if (demand.own === 0 && Math.abs(last) < negligible) {
                this.customers.delete(key);
            }
        }
    }

    private demand(key: number): CustomerDemand {
        const known = this.customers.get(key) ?? { own: 0, mean: 0, settled: undefined };
        this.customers.set(key, known);
        return known;
    }

    private keysOf(slice: number, sliceBits: number): number[] {
        return [...this.customers.keys()]
            .filter(key => key >>> (keyBits - sliceBits) === slice)
            .sort((left, right) => left - right);
    }

    private slice(slice: number, sliceBits: number, keys: readonly number[]): DemandSlice {
        const values = keys.map(key => quantize(this.customers.get(key)?.mean ?? 0));
        return { epoch: this.epoch, slice, sliceBits, keys, values };
    }
}

function valuesByKey(slice: DemandSlice): Map<number, number> {
    return new Map(slice.keys.map((key, index) => [key, dequantize(slice.values[index] ?? 0)]));
}
