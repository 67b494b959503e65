/** Subscriptions to the event streams of backend servers: one for each server, renewed when its stream ends. */
import type { Subscription } from "most";
import { monotonicNow } from "../../common/clock.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { BackendServerEvent } from "../../domain/engine-protocol.js";
import type { BackendServerRecord } from "./backend-server-record.js";
import { eventTimeoutMilliseconds, resubscribeMilliseconds } from "./constants.js";

export interface EventSubscriptionListener {
    onEvent(record: BackendServerRecord, event: BackendServerEvent): void;
    /** The stream ended, failed, or delivered nothing for `eventTimeoutMilliseconds`. */
    onInterrupted(record: BackendServerRecord): void;
}

class EventSubscription {
    private subscription: Subscription<BackendServerEvent> | undefined;
    private timer: ReturnType<typeof setTimeout> | undefined;
    private closed = false;
    private timeoutStartedAt = monotonicNow();

    constructor(
        readonly record: BackendServerRecord,
        private readonly connections: BackendServerConnections,
        private readonly listener: EventSubscriptionListener,
    ) {
        this.subscribe();
    }

    close(): void {
        this.closed = true;
        clearTimeout(this.timer);
        this.subscription?.unsubscribe();
    }

    /** Reports a timeout and resubscribes, at most once in each timeout period. */
    checkTimeout(now: number): void {
        if (now - this.timeoutStartedAt > eventTimeoutMilliseconds) {
            this.timeoutStartedAt = now;
            this.listener.onInterrupted(this.record);
            this.scheduleResubscribe();
        }
    }

    private subscribe(): void {
        const { id, address } = this.record.description;
        this.subscription = this.connections.get(id, address).events.subscribe({
            next: event => {
                if (!this.closed) {
                    this.timeoutStartedAt = monotonicNow();
                    this.listener.onEvent(this.record, event);
                }
            },
            error: () => this.handleStreamEnd(),
            complete: () => this.handleStreamEnd(),
        });
    }

    private handleStreamEnd(): void {
        if (!this.closed) {
            this.listener.onInterrupted(this.record);
            this.scheduleResubscribe();
        }
    }

    private scheduleResubscribe(): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(() => {
            this.subscription?.unsubscribe();
            this.subscribe();
        }, resubscribeMilliseconds);
    }
}

export class EventSubscriptions {
    private readonly subscriptions = new Map<string, EventSubscription>();

    constructor(
        private readonly connections: BackendServerConnections,
        private readonly listener: EventSubscriptionListener,
    ) {}

    /** Opens and closes subscriptions so that exactly these records have one. */
    setRecords(records: ReadonlyMap<string, BackendServerRecord>): void {
        for (const [id, subscription] of this.subscriptions) {
            if (records.get(id) !== subscription.record) {
                subscription.close();
                this.subscriptions.delete(id);
            }
        }
        for (const [id, record] of records) {
            if (!this.subscriptions.has(id)) {
                this.subscriptions.set(id, new EventSubscription(record, this.connections, this.listener));
            }
        }
    }

    checkTimeouts(now: number): void {
        for (const subscription of this.subscriptions.values()) {
            subscription.checkTimeout(now);
        }
    }

    has(id: string): boolean {
        return this.subscriptions.has(id);
    }

    get size(): number {
        return this.subscriptions.size;
    }

    close(): void {
        this.setRecords(new Map());
    }
}
