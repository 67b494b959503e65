/**
 * The backend servers that the platform's registry names. A server that drains or has gone is no longer chosen; its
 * departure binds from the moment at which this process learnt of it, whatever becomes of the store.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import { formatSocketAddress, type ServerEntry } from "../../domain/gateway/server-entry.js";
import { formatLayerRange } from "../../domain/layers.js";

/** A backend server with what this process knows of its departure. */
export interface RegisteredServer {
    readonly entry: ServerEntry;
    /** Monotonic time at which this process learnt that the server leaves or has gone. */
    readonly leavingSince: number | undefined;
    /** It is no longer in the registry. */
    readonly gone: boolean;
}

interface Registration extends RegisteredServer {
    readonly revision: number;
}

/** Servers that have gone are remembered this long, for those who still wait for an answer of theirs. */
const memoryOfGoneMilliseconds = 10_000;

export class ServerRegistry {
    private readonly registrations = new Map<string, Registration>();
    private readonly listeners = new Set<() => void>();
    private complete = false;
    private changeCount = 0;

    constructor(private readonly logger: Logger) {}

    /** Whether the registry has been read once. */
    get known(): boolean {
        return this.complete;
    }

    /** Rises with each change. */
    get generation(): number {
        return this.changeCount;
    }

    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    get(id: string): RegisteredServer | undefined {
        return this.registrations.get(id);
    }

    findByAddress(address: string): RegisteredServer | undefined {
        return this.all().find(({ entry, gone }) => !gone && formatSocketAddress(entry.address) === address);
    }

    all(): RegisteredServer[] {
        return [...this.registrations.values()];
    }

    /** Servers of a service that are neither draining nor gone. */
    active(service: string): ServerEntry[] {
        return this.all()
            .filter(({ entry, leavingSince }) => entry.service === service && leavingSince === undefined)
            .map(({ entry }) => entry);
    }

    /** Servers of a service whose departure was learnt of less than the given time ago. */
    justLeaving(service: string, milliseconds: number): ServerEntry[] {
        const since = monotonicNow() - milliseconds;
        return this.all()
            .filter(({ entry, leavingSince }) => entry.service === service && (leavingSince ?? -Infinity) > since)
            .map(({ entry }) => entry);
    }

    /** Records an entry as of a store revision; older news is passed over. */
    put(entry: ServerEntry, revision: number): void {
        const before = this.registrations.get(entry.id);
        if (before !== undefined && before.revision >= revision) {
            return;
        }
        const restarted = before !== undefined && before.entry.bornAt !== entry.bornAt;
        const leavingSince = entry.draining
            ? (restarted ? undefined : before?.leavingSince) ?? monotonicNow()
            : undefined;
        this.registrations.set(entry.id, { entry, revision, leavingSince, gone: false });
        this.logger.info("backend server registered", {
            server: entry.id,
            address: formatSocketAddress(entry.address),
            zone: entry.availabilityZone,
            draining: entry.draining,
            layers: entry.layers === undefined ? undefined : formatLayerRange(entry.layers),
            revision,
        });
        this.notify();
    }

    remove(id: string, revision: number): void {
        const before = this.registrations.get(id);
        if (before === undefined || before.gone || before.revision >= revision) {
            return;
        }
        this.registrations.set(id, {
            ...before,
            revision,
            gone: true,
            leavingSince: before.leavingSince ?? monotonicNow(),
        });
        this.logger.info("backend server gone from the registry", { server: id, revision });
        this.notify();
    }

    /** Takes a full read: what is not in it has gone, unless it is newer than the read. */
    replaceAll(
        entries: ReadonlyMap<string, { readonly entry: ServerEntry; readonly revision: number; }>,
        revision: number,
    ): void {
        for (const { entry, revision: entryRevision } of entries.values()) {
            this.put(entry, entryRevision);
        }
        for (const [id, registration] of this.registrations) {
            if (!entries.has(id) && registration.revision < revision) {
                this.remove(id, revision);
            }
        }
        this.complete = true;
        this.notify();
    }

    private notify(): void {
        this.changeCount++;
        this.forgetLongGone();
        [...this.listeners].forEach(listener => listener());
    }

    private forgetLongGone(): void {
        const before = monotonicNow() - memoryOfGoneMilliseconds;
        for (const [id, { gone, leavingSince }] of this.registrations) {
            if (gone && (leavingSince ?? 0) < before) {
                this.registrations.delete(id);
            }
        }
    }
}
