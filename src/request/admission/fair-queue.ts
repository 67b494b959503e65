/**
 * Start-time fair queueing among customers, by tokens of work: each customer has a virtual start time that moves on by
 * the tokens it was given over its weight, and the waiting customer with the earliest is served next. Within one
 * customer, requests of a lower priority number go first, then older ones.
 */

import { LRUCache } from "lru-cache";

const maximumCustomers = 10_000;

/** Something that waits. */
export interface QueueEntry {
    readonly customer: string;
    readonly weight: number;
    readonly priority: number;
    readonly tokens: number;
}

interface CustomerQueue<Entry> {
    readonly entries: Entry[];
    tokens: number;
    weight: number;
    virtualStart: number;
}

export class FairQueue<Entry extends QueueEntry> {
    private readonly waiting = new Map<string, CustomerQueue<Entry>>();
    /** Virtual start times of customers without a queue, while they still count. */
    private readonly ahead = new LRUCache<string, number>({ max: maximumCustomers });
    private virtualTime = 0;

    get size(): number {
        let total = 0;
        for (const queue of this.waiting.values()) {
            total += queue.entries.length;
        }
        return total;
    }

    lengthOf(customer: string): number {
        return this.waiting.get(customer)?.entries.length ?? 0;
    }

    /** Sum of the weights of customers that wait, the given one counted in. */
    activeWeight(customer: string, weight: number): number {
        let total = this.waiting.has(customer) ? 0 : weight;
        for (const queue of this.waiting.values()) {
            total += queue.weight;
        }
        return total;
    }

    /** Work for weight 1 that is served before a new entry of the customer, by the virtual time. */
    distance(customer: string, weight: number, credit = 0): number {
        const queue = this.waiting.get(customer);
        const start = queue?.virtualStart ?? Math.max(this.virtualTime - credit, this.ahead.get(customer) ?? 0);
        return Math.max(0, start + (queue?.tokens ?? 0) / weight - this.virtualTime);
    }

    /** A customer that took less than its share lately may catch up by at most the credit, in tokens for weight 1. */
    push(entry: Entry, credit = 0): void {
        let queue = this.waiting.get(entry.customer);
        if (queue === undefined) {
            const virtualStart = Math.max(this.virtualTime - credit, this.ahead.get(entry.customer) ?? 0);
            queue = { entries: [], tokens: 0, weight: entry.weight, virtualStart };
            this.waiting.set(entry.customer, queue);
            this.ahead.delete(entry.customer);
        }
        queue.weight = entry.weight;
        queue.tokens += entry.tokens;
        let index = queue.entries.length;
        while (index > 0 && queue.entries[index - 1]!.priority > entry.priority) {
            index--;
        }
        queue.entries.splice(index, 0, entry);
    }

    /** The entry to serve next. */
    peek(): Entry | undefined {
        return this.next()?.entries[0];
    }

    /** Takes the entry to serve next. */
    shift(): Entry | undefined {
        const queue = this.next();
        const entry = queue?.entries.shift();
        if (queue === undefined || entry === undefined) {
            return undefined;
        }
        this.virtualTime = Math.max(this.virtualTime, queue.virtualStart);
        queue.virtualStart += entry.tokens / queue.weight;
        queue.tokens -= entry.tokens;
        this.dropIfEmpty(entry.customer, queue);
        return entry;
    }

    remove(entry: Entry): void {
        const queue = this.waiting.get(entry.customer);
        const index = queue?.entries.indexOf(entry) ?? -1;
        if (queue !== undefined && index !== -1) {
            queue.entries.splice(index, 1);
            queue.tokens -= entry.tokens;
            this.dropIfEmpty(entry.customer, queue);
        }
    }

    /** Charges a customer for tokens beyond those that it was served by, or gives some back. */
    charge(customer: string, weight: number, tokens: number): void {
        const queue = this.waiting.get(customer);
        if (queue !== undefined) {
            queue.virtualStart += tokens / weight;
            return;
        }
        const start = this.ahead.get(customer) ?? this.virtualTime;
        this.remember(customer, start + tokens / weight);
    }

    private next(): CustomerQueue<Entry> | undefined {
        let next: CustomerQueue<Entry> | undefined;
        for (const queue of this.waiting.values()) {
            if (next === undefined || queue.virtualStart < next.virtualStart) {
                next = queue;
            }
        }
        return next;
    }

    private dropIfEmpty(customer: string, queue: CustomerQueue<Entry>): void {
        if (queue.entries.length === 0) {
            this.waiting.delete(customer);
            this.remember(customer, queue.virtualStart);
        }
    }

    private remember(customer: string, virtualStart: number): void {
        this.ahead.set(customer, virtualStart);
    }
}
