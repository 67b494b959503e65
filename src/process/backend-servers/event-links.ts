/** The event streams of the backend servers in use: one observer each, started again when a stream ends. */
import type { Subscription } from "most";
import { monotonicNow } from "../../common/clock.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { BackendServerEvent } from "../../domain/engine-protocol.js";
import type { BackendServerRecord } from "./backend-server-record.js";
import { eventSilenceMilliseconds, resubscribeMilliseconds } from "./constants.js";

/** Hears what the links bring. */
export interface EventLinkListener {
    event(record: BackendServerRecord, event: BackendServerEvent): void;
    /** The stream ended, failed, or brought nothing for too long. */
    silent(record: BackendServerRecord): void;
}

class EventLink {
    private subscription: Subscription<BackendServerEvent> | undefined;
    private timer: ReturnType<typeof setTimeout> | undefined;
    private closed = false;
    private quietSince = monotonicNow();

    constructor(
        readonly record: BackendServerRecord,
        private readonly connections: BackendServerConnections,
        private readonly listener: EventLinkListener,
    ) {
        this.subscribe();
    }

    close(): void {
        this.closed = true;
        clearTimeout(this.timer);
        this.subscription?.unsubscribe();
    }

    /** Reports silence, at most once for each bound that passes. */
    checkSilence(now: number): void {
        if (now - this.quietSince > eventSilenceMilliseconds) {
            this.quietSince = now;
            this.listener.silent(this.record);
            this.subscribeLater();
        }
    }

    private subscribe(): void {
        const { id, address } = this.record.description;
        this.subscription = this.connections.get(id, address).events.subscribe({
            next: event => {
                if (!this.closed) {
                    this.quietSince = monotonicNow();
                    this.listener.event(this.record, event);
                }
            },
            error: () => this.ended(),
            complete: () => this.ended(),
        });
    }

    private ended(): void {
        if (!this.closed) {
            this.listener.silent(this.record);
            this.subscribeLater();
        }
    }

    private subscribeLater(): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(() => {
            this.subscription?.unsubscribe();
            this.subscribe();
        }, resubscribeMilliseconds);
    }
}

export class EventLinks {
    private readonly links = new Map<string, EventLink>();

    constructor(
        private readonly connections: BackendServerConnections,
        private readonly listener: EventLinkListener,
    ) {}

    /** Opens and closes links so that exactly these records have one. */
    setRecords(records: ReadonlyMap<string, BackendServerRecord>): void {
        for (const [id, link] of this.links) {
            if (records.get(id) !== link.record) {
                link.close();
                this.links.delete(id);
            }
        }
        for (const [id, record] of records) {
            if (!this.links.has(id)) {
                this.links.set(id, new EventLink(record, this.connections, this.listener));
            }
        }
    }

    checkSilence(now: number): void {
        for (const link of this.links.values()) {
            link.checkSilence(now);
        }
    }

    has(id: string): boolean {
        return this.links.has(id);
    }

    get size(): number {
        return this.links.size;
    }

    close(): void {
        this.setRecords(new Map());
    }
}
