/**
 * The backend servers that the platform's registry names, corrected by what the router that leads placement says of
 * them. A server that drains or has gone is no longer chosen; its departure binds from the moment at which this process
 * learnt of it, whatever becomes of the store.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { ServerNotice } from "../../domain/gateway/placement-notice.js";
import { formatSocketAddress, type ServerEntry } from "../../domain/gateway/server-entry.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";

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
    /** Missing after an outage of the store, in which registrations lapse; until then it is taken as present. */
    readonly lapsedUntil: number | undefined;
}

interface RetainedNotice {
    readonly notice: ServerNotice;
    readonly expiresAt: number;
    /** Revision of the entry that the notice corrects. */
    readonly revision: number;
}

/** A full read of the registry. */
export interface RegistryContents {
    readonly entries: ReadonlyMap<string, { readonly entry: ServerEntry; readonly revision: number; }>;
    readonly revision: number;
    /** Entries may be missing only because they lapsed while the store was away. */
    readonly afterOutage: boolean;
}

/** Servers that have gone are remembered this long, for those who still wait for an answer of theirs. */
const memoryOfGoneMilliseconds = 10_000;
/** Entries that lapsed in an outage are back within about two seconds of the store's return (the users' letter). */
const settleMilliseconds = 2_500;
/** The leader repeats its notices every second; after three that are missing, the registry is believed again. */
const noticeLifeMilliseconds = 3_000;

export class ServerRegistry {
    private readonly registrations = new Map<string, Registration>();
    private readonly notices = new Map<string, RetainedNotice>();
    private readonly listeners = new Set<() => void>();
    private readonly noticeListeners = new Set<() => void>();
    private complete = false;
    private settlingUntil = Infinity;
    private changeCount = 0;

    /** Entries that lapsed during an outage are taken as present for the given time after the first full read. */
    constructor(private readonly lapseToleranceMilliseconds: number, private readonly logger: Logger) {}

    /** Whether the registry has been read once. */
    get known(): boolean {
        return this.complete;
    }

    /** False for a while after the first read and after outages, in which servers are still registering again. */
    get settled(): boolean {
        return monotonicNow() >= this.settlingUntil;
    }

    /** Rises with each change. */
    get generation(): number {
        return this.changeCount;
    }

    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Calls the listener after each of the leader's notices. */
    onNotice(listener: () => void): void {
        this.noticeListeners.add(listener);
    }

    get(id: string): RegisteredServer | undefined {
        return this.registrations.get(id);
    }

    findByAddress(address: string): RegisteredServer | undefined {
        return [...this.registrations.values()]
            .find(({ entry, gone }) => !gone && formatSocketAddress(entry.address) === address);
    }

    /** Servers of a service that are neither draining, nor gone, nor lost; with the layers that they hold by now. */
    active(service: string): ServerEntry[] {
        return this.present(service).flatMap(registration => this.correct(registration));
    }

    /** Servers of a service as registered, without the leader's corrections. */
    registered(service: string): ServerEntry[] {
        return this.present(service).map(({ entry }) => entry);
    }

    /** Servers of a service whose departure was learnt of less than the given time ago. */
    justLeaving(service: string, milliseconds: number): ServerEntry[] {
        const since = monotonicNow() - milliseconds;
        return [...this.registrations.values()]
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
        this.registrations.set(entry.id, { entry, revision, leavingSince, gone: false, lapsedUntil: undefined });
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

    remove(id: string, revision: number, afterOutage = false): void {
        const before = this.registrations.get(id);
        if (before === undefined || before.gone || before.revision >= revision) {
            return;
        }
        const now = monotonicNow();
        const lapsed = afterOutage && before.leavingSince === undefined;
        this.registrations.set(id, {
            ...before,
            revision,
            gone: true,
            leavingSince: before.leavingSince ?? now,
            lapsedUntil: lapsed ? now + this.lapseToleranceMilliseconds : undefined,
        });
        this.logger.info("backend server gone from the registry", { server: id, revision, lapsed });
        this.notify();
    }

    /** Takes a full read: what is not in it has gone, unless it is newer than the read. */
    replaceAll({ entries, revision, afterOutage }: RegistryContents): void {
        for (const { entry, revision: entryRevision } of entries.values()) {
            this.put(entry, entryRevision);
        }
        for (const [id, registration] of this.registrations) {
            if (!entries.has(id) && registration.revision < revision) {
                this.remove(id, revision, afterOutage);
            }
        }
        if (!this.complete || afterOutage) {
            this.settlingUntil = monotonicNow() + settleMilliseconds;
        }
        this.complete = true;
        this.notify();
    }

    /** Takes what the leader says of servers. It holds for a short time, or until the registry has newer news. */
    applyNotice(servers: readonly ServerNotice[]): void {
        const expiresAt = monotonicNow() + noticeLifeMilliseconds;
        for (const notice of servers) {
            const registration = this.registrations.get(notice.id);
            if (registration !== undefined && registration.entry.bornAt === notice.bornAt) {
                this.notices.set(notice.id, { notice, expiresAt, revision: registration.revision });
            }
        }
        this.changeCount++;
        [...this.noticeListeners].forEach(listener => listener());
    }

    /**
     * Whether the leader says that a server which was chosen for the layers no longer computes them. The registry's own
     * entry is no evidence: it may be older than the leader's word by which the server was chosen.
     */
    hasGivenUp(server: ServerEntry, layers: LayerRange): boolean {
        const retained = this.notices.get(server.id);
        if (retained === undefined || retained.expiresAt < monotonicNow()) {
            return false;
        }
        const { notice } = retained;
        return notice.lost || notice.bornAt !== server.bornAt || !covers(notice.layers, layers);
    }

    private present(service: string): Registration[] {
        const now = monotonicNow();
        return [...this.registrations.values()].filter(({ entry, leavingSince, lapsedUntil }) =>
            entry.service === service && (leavingSince === undefined || (lapsedUntil ?? 0) > now)
        );
    }

    private correct({ entry, revision }: Registration): ServerEntry[] {
        const retained = this.notices.get(entry.id);
        if (retained === undefined) {
            return [entry];
        }
        const { notice, expiresAt } = retained;
        if (expiresAt < monotonicNow() || retained.revision !== revision || notice.bornAt !== entry.bornAt) {
            this.notices.delete(entry.id);
            return [entry];
        }
        return notice.lost ? [] : [{ ...entry, layers: notice.layers }];
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
                this.notices.delete(id);
            }
        }
    }
}

function covers(held: LayerRange | undefined, layers: LayerRange): boolean {
    return held !== undefined && held.first <= layers.first && layers.last <= held.last;
}
