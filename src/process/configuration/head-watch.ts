/**
 * One watch on the platform's configuration keys. A transaction's chunks arrive before its head, so that most versions
 * are whole without a further read. The watch may go silent at any time; whoever owns it also polls.
 */
import type { Subscription } from "most";
import type { KeyValueService, WatchEvent } from "../../domain/platform.js";
import type { StoredVersion } from "../../domain/version-exchange.js";
import {
    chunkKey,
    configurationPrefix,
    decodeHead,
    hashBytes,
    headKey,
    recordOf,
    type StoredHead,
} from "./stored-head.js";

/** Chunks that may wait for their head. */
const maximumPendingChunks = 32;

/** Receives heads; the version is given when its sheet came with the watch. */
export type HeadListener = (head: StoredHead, version: StoredVersion | undefined) => void;

export class HeadWatch {
    private subscription: Subscription<WatchEvent> | undefined;
    private readonly pendingChunks = new Map<string, Uint8Array>();

    constructor(private readonly keyValueService: KeyValueService, private readonly listener: HeadListener) {}

    get isOpen(): boolean {
        return this.subscription !== undefined;
    }

    /** Opens the watch unless it is open. */
    open(): void {
        if (this.subscription !== undefined) {
            return;
        }
        const subscription = this.keyValueService.watch(configurationPrefix).subscribe({
            next: event => this.receive(event),
            error: () => this.forget(subscription),
            complete: () => this.forget(subscription),
        });
        this.subscription = subscription;
    }

    close(): void {
        this.subscription?.unsubscribe();
        this.subscription = undefined;
        this.pendingChunks.clear();
    }

    private forget(subscription: Subscription<WatchEvent>): void {
        if (this.subscription === subscription) {
            this.subscription = undefined;
        }
    }

    /** A head that can't be read is left to the polls, which report it. */
    private receive(event: WatchEvent): void {
        try {
            this.take(event);
        }
        catch {
            this.pendingChunks.clear();
        }
    }

    private take(event: WatchEvent): void {
        const { key, value } = event.entry;
        if (event.kind !== "put") {
            return;
        }
        if (key === headKey) {
            const head = decodeHead(value);
            this.listener(head, this.assemble(head));
            this.pendingChunks.clear();
        }
        else if (this.pendingChunks.size < maximumPendingChunks) {
            this.pendingChunks.set(key, value);
        }
    }

    private assemble(head: StoredHead): StoredVersion | undefined {
        const chunks = Array.from(
            { length: head.chunkTotal },
            (_unused, index) => this.pendingChunks.get(chunkKey(head, index)) ?? new Uint8Array(),
        );
        const compressedSheet = Buffer.concat(chunks);
        return hashBytes(compressedSheet) === head.sha256 ? { record: recordOf(head), compressedSheet } : undefined;
    }
}
