/**
 * A watch on the platform's configuration keys. The chunks of a version are written before the head that names it, so
 * that most versions are complete when their head arrives and need no further read. The watch may stop delivering
 * events at any time without an error, so its owner must also poll.
 */
import type { Subscription } from "most";
import type { KeyValueService, WatchEvent } from "../../domain/platform.js";
import type { StoredVersion } from "../../domain/version-exchange.js";
import {
    chunkKey,
    configurationPrefix,
    decodeRecord,
    hashBytes,
    headKey,
    type StoredRecord,
    toVersionRecord,
} from "./stored-record.js";

/** Maximum number of chunks that are buffered until their head arrives. */
const maximumPendingChunks = 32;

/** Receives each new head; the version is undefined unless the watch delivered all chunks of its sheet. */
export type HeadListener = (head: StoredRecord, version: StoredVersion | undefined) => void;

export class HeadWatch {
    private subscription: Subscription<WatchEvent> | undefined;
    private readonly pendingChunks = new Map<string, Uint8Array>();

    constructor(private readonly keyValueService: KeyValueService, private readonly listener: HeadListener) {}

    get isOpen(): boolean {
        return this.subscription !== undefined;
    }

    /** Opens the watch; does nothing if it is already open. */
    open(): void {
        if (this.subscription !== undefined) {
            return;
        }
        const subscription = this.keyValueService.watch(configurationPrefix).subscribe({
            next: event => this.handleEvent(event),
            error: () => this.clearSubscription(subscription),
            complete: () => this.clearSubscription(subscription),
        });
        this.subscription = subscription;
    }

    close(): void {
        this.subscription?.unsubscribe();
        this.subscription = undefined;
        this.pendingChunks.clear();
    }

    private clearSubscription(subscription: Subscription<WatchEvent>): void {
        if (this.subscription === subscription) {
            this.subscription = undefined;
        }
    }

    /** Ignores a head that can't be decoded; the next poll reads it too and reports the error. */
    private handleEvent(event: WatchEvent): void {
        try {
            this.processEvent(event);
        }
        catch {
            this.pendingChunks.clear();
        }
    }

    private processEvent(event: WatchEvent): void {
        const { key, value } = event.entry;
        if (event.kind !== "put") {
            return;
        }
        if (key === headKey) {
            const head = decodeRecord(value);
            this.listener(head, this.assembleVersion(head));
            this.pendingChunks.clear();
        }
        else if (this.pendingChunks.size < maximumPendingChunks) {
            this.pendingChunks.set(key, value);
        }
    }

    private assembleVersion(head: StoredRecord): StoredVersion | undefined {
        const chunks = Array.from(
            { length: head.chunkTotal },
            (_unused, index) => this.pendingChunks.get(chunkKey(head, index)) ?? new Uint8Array(),
        );
        const compressedSheet = Buffer.concat(chunks);
        return hashBytes(compressedSheet) === head.sha256
            ? { record: toVersionRecord(head), compressedSheet }
            : undefined;
    }
}
