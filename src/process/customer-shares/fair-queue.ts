/**
 * Start-time fair queueing among customers, measured in tokens of work. Serving an entry advances its customer's
 * virtual start time by the entry's tokens divided by the customer's weight; the queued customer with the earliest
 * virtual start time is served next. Within a customer, lower priority numbers are served first, then older entries.
 */

import { LRUCache } from "lru-cache";

const maximumCustomers = 10_000;

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
    private readonly queues = new Map<string, CustomerQueue<Entry>>();
    /** Virtual start times of the most recently served customers that have no queued entries. */
    private readonly idleVirtualStarts = new LRUCache<string, number>({ max: maximumCustomers });
    private virtualTime = 0;

    get size(): number {
        let total = 0;
        for (const queue of this.queues.values()) {
            total += queue.entries.length;
        }
        return total;
    }

    lengthOf(customer: string): number {
        return this.queues.get(customer)?.entries.length ?? 0;
    }

    /** Sum of the weights of all customers with queued entries, including the given customer in any case. */
    activeWeight(customer: string, weight: number): number {
        let total = this.queues.has(customer) ? 0 : weight;
        for (const queue of this.queues.values()) {
            total += queue.weight;
        }
        return total;
    }

    /** Virtual time, in tokens per unit of weight, until a new entry of the customer would be served. */
    workAhead(customer: string, weight: number, credit = 0): number {
        const queue = this.queues.get(customer);
        const virtualStart = queue?.virtualStart
            ?? Math.max(this.virtualTime - credit, this.idleVirtualStarts.get(customer) ?? 0);
        return Math.max(0, virtualStart + (queue?.tokens ?? 0) / weight - this.virtualTime);
    }

    /**
     * Queues an entry. A customer that recently used less than its share may start up to `credit` behind the virtual
     * time, in tokens per unit of weight, and so catch up.
     */
    push(entry: Entry, credit = 0): void {
        let queue = this.queues.get(entry.customer);
        if (queue === undefined) {
            const virtualStart = Math.max(this.virtualTime - credit, this.idleVirtualStarts.get(entry.customer) ?? 0);
            queue = { entries: [], tokens: 0, weight: entry.weight, virtualStart };
            this.queues.set(entry.customer, queue);
            this.idleVirtualStarts.delete(entry.customer);
        }
        queue.weight = entry.weight;
        queue.tokens += entry.tokens;
        let index = queue.entries.length;
        while (index > 0 && queue.entries[index - 1]!.priority > entry.priority) {
            index--;
        }
        queue.entries.splice(index, 0, entry);
    }

    peek(): Entry | undefined {
        return this.nextQueue()?.entries[0];
    }

    /** Removes and returns the entry to serve next, and charges its tokens to the customer. */
    shift(): Entry | undefined {
        const queue = this.nextQueue();
        const entry = queue?.entries.shift();
        if (queue === undefined || entry === undefined) {
            return undefined;
        }
        this.virtualTime = Math.max(this.virtualTime, queue.virtualStart);
        queue.virtualStart += entry.tokens / queue.weight;
        queue.tokens -= entry.tokens;
        this.removeIfEmpty(entry.customer, queue);
        return entry;
    }

    remove(entry: Entry): void {
        const queue = this.queues.get(entry.customer);
        const index = queue?.entries.indexOf(entry) ?? -1;
        if (queue !== undefined && index !== -1) {
            queue.entries.splice(index, 1);
            queue.tokens -= entry.tokens;
            this.removeIfEmpty(entry.customer, queue);
        }
    }

    /** Corrects a customer's charge by tokens used beyond the entry's estimate; negative tokens are a refund. */
    charge(customer: string, weight: number, tokens: number): void {
        const queue = this.queues.get(customer);
        if (queue !== undefined) {
            queue.virtualStart += tokens / weight;
            return;
        }
        const virtualStart = this.idleVirtualStarts.get(customer) ?? this.virtualTime;
        this.saveVirtualStart(customer, virtualStart + tokens / weight);
    }

    private nextQueue(): CustomerQueue<Entry> | undefined {
        let next: CustomerQueue<Entry> | undefined;
        for (const queue of this.queues.values()) {
            if (next === undefined || queue.virtualStart < next.virtualStart) {
                next = queue;
            }
        }
        return next;
    }

    private removeIfEmpty(customer: string, queue: CustomerQueue<Entry>): void {
        if (queue.entries.length === 0) {
            this.queues.delete(customer);
            this.saveVirtualStart(customer, queue.virtualStart);
        }
    }

    private saveVirtualStart(customer: string, virtualStart: number): void {
        this.idleVirtualStarts.set(customer, virtualStart);
    }
}
