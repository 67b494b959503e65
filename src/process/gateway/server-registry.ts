/**
 * The backend servers in the platform's registry, corrected by the notices of the placement leader. A server that is
 * draining, was removed or has announced in a response that it is leaving is no longer chosen. Its departure counts from
 * the moment at which this process first learnt of it, and is not undone by later outages of the store. A departure that
 * the server itself announced is undone only by its next start, whatever the registry says.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { KnownDeparture } from "../../domain/gateway/fleet-knowledge.js";
import type { ServerNotice } from "../../domain/gateway/placement-notice.js";
import {
    formatSocketAddress,
    isSameStart,
    type ServerEntry,
    type ServerStart,
} from "../../domain/gateway/server-entry.js";
import { comparePositions, type StorePosition } from "../../domain/gateway/store-position.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";
import { DepartureAnnouncements } from "./departure-announcements.js";
import { DistrustedEntries, haveSameContent, isNewerStatement, type RegistryItem } from "./distrusted-entries.js";
import { hasLeft, type RegisteredServer, type Registration } from "./server-registration.js";
import { ReadContext } from "./store-observer.js";

interface AppliedNotice {
    readonly notice: ServerNotice;
    readonly expiresAt: number;
    /** The registry entry that the notice corrects. */
    readonly entry: ServerEntry;
}

/** The result of a full read of the registry. */
export interface RegistryContents {
    readonly entries: ReadonlyMap<string, RegistryItem>;
    readonly position: StorePosition;
    readonly context: ReadContext;
}

/**
 * Removed servers are kept this long: for requests that still wait for an answer from them, and since the store may come back
 * from a copy, some seconds old, in which they are still registered.
 */
const removedRetentionMilliseconds = 60_000;
/** According to the operators, servers that expired in an outage are registered again within about 2 s of its end. */
const reregistrationMilliseconds = 2_500;
/** The leader repeats its notices every 500 ms; without one for this time, the registry entry applies again. */
const noticeLifetimeMilliseconds = 3_000;

export class ServerRegistry {
    private readonly registrations = new Map<string, Registration>();
    private readonly notices = new Map<string, AppliedNotice>();
    private readonly announcements = new DepartureAnnouncements();
    /** Entries of a copy of the store that are older than what is known of their servers, by server. */
    private readonly distrusted = new DistrustedEntries();
    private readonly listeners = new Set<() => void>();
    private readonly noticeListeners = new Set<() => void>();
    private loaded = false;
    private unstableUntil = Infinity;
    private currentGeneration = 0;

    /**
     * @param expiryGraceMilliseconds How long entries that expired during an outage are treated as present after the
     * full read in which they are missing.
     */
    constructor(private readonly expiryGraceMilliseconds: number, private readonly logger: Logger) {}

    /** Whether the registry has been read in full at least once. */
    get isLoaded(): boolean {
        return this.loaded;
    }

    /** False for a short time after the first full read and after outages, while servers may still be registering. */
    get stable(): boolean {
        return monotonicNow() >= this.unstableUntil;
    }

    /** Increases with each change of the registry and with each notice. */
    get generation(): number {
        return this.currentGeneration;
    }

    /** Calls the listener after each change of the registry; returns a function that removes the listener. */
    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Calls the listener after each placement notice. */
    onNotice(listener: () => void): void {
        this.noticeListeners.add(listener);
    }

    get(id: string): RegisteredServer | undefined {
        return this.registrations.get(id);
    }

    /** Whether a later start of the server is registered. */
    hasRestarted(server: ServerStart): boolean {
        const known = this.registrations.get(server.id);
        return known !== undefined && known.entry.bornAt > server.bornAt;
    }

    findByAddress(address: string): RegisteredServer | undefined {
        return [...this.registrations.values()]
            .find(({ entry, removed }) => !removed && formatSocketAddress(entry.address) === address);
    }

    /** Servers of a service that are not draining, removed or lost, with their layers as corrected by notices. */
    active(service: string): ServerEntry[] {
        const entries: ServerEntry[] = [];
        for (const registration of this.present(service)) {
            const entry = this.applyNoticeTo(registration);
            if (entry !== undefined) {
                entries.push(entry);
            }
        }
        return entries;
    }

    /** Servers of a service that are not draining or removed, as registered, without corrections by notices. */
    registered(service: string): ServerEntry[] {
        return this.present(service).map(({ entry }) => entry);
    }

    /** Servers of all services that are not draining or removed. */
    allRegistered(): ServerEntry[] {
        return this.present().map(({ entry }) => entry);
    }

    /** Draining and removed servers of a service whose departure became known less than the given time ago. */
    recentlyLeaving(service: string, milliseconds: number): ServerEntry[] {
        const since = monotonicNow() - milliseconds;
        return [...this.registrations.values()]
            .filter(({ entry, leavingSince }) => entry.service === service && (leavingSince ?? -Infinity) > since)
            .map(({ entry }) => entry);
    }

    /** Adds or replaces a server's entry, unless the position is not later than the last one applied to the server. */
    put(entry: ServerEntry, position: StorePosition): void {
        this.register(entry, position);
        this.settleDistrusted();
    }

    private register(entry: ServerEntry, position: StorePosition): void {
        const before = this.registrations.get(entry.id);
        if (before !== undefined && comparePositions(before.position, position) >= 0) {
            return;
        }
        this.distrusted.delete(entry.id);
        const restarted = before !== undefined && !isSameStart(before.entry, entry);
        const announcedAt = this.announcements.timeOf(entry);
        const leavingSince = entry.draining || announcedAt !== undefined
            ? (restarted ? undefined : before?.leavingSince) ?? announcedAt ?? monotonicNow()
            : undefined;
        this.registrations.set(entry.id, { entry, position, leavingSince, removed: false, graceEndsAt: undefined });
        this.logger.info("backend server registered", {
            server: entry.id,
            address: formatSocketAddress(entry.address),
            zone: entry.availabilityZone,
            draining: entry.draining,
            layers: entry.layers === undefined ? undefined : formatLayerRange(entry.layers),
            revision: position.revision,
        });
        this.notify();
    }

    /**
     * Marks a start of a server as leaving, which the server itself has announced. Holds for entries of this start that
     * arrive later, too.
     */
    markLeaving(server: ServerEntry): void {
        if (this.announcements.timeOf(server) !== undefined) {
            return;
        }
        const now = monotonicNow();
        this.announcements.record(server, now);
        const before = this.registrations.get(server.id);
        if (before !== undefined && isSameStart(before.entry, server)) {
            const leavingSince = before.leavingSince ?? now;
            this.registrations.set(server.id, { ...before, leavingSince, graceEndsAt: undefined });
        }
        this.logger.info("backend server announced that it is leaving", {
            server: server.id,
            address: formatSocketAddress(server.address),
        });
        this.notify();
    }

    /** Marks a server as removed, unless the position is not later than the last one applied to the server. */
    remove(id: string, position: StorePosition): void {
        this.unregister(id, position, false);
        this.settleDistrusted();
    }

    private unregister(id: string, position: StorePosition, afterOutage: boolean): void {
        const before = this.registrations.get(id);
        if (before === undefined || comparePositions(before.position, position) >= 0) {
            return;
        }
        this.distrusted.delete(id);
        if (before.removed) {
            return;
        }
        const now = monotonicNow();
        const expired = afterOutage && before.leavingSince === undefined;
        this.registrations.set(id, {
            ...before,
            position,
            removed: true,
            leavingSince: before.leavingSince ?? now,
            graceEndsAt: expired ? now + this.expiryGraceMilliseconds : undefined,
        });
        this.logger.info("backend server removed from the registry", {
            server: id,
            revision: position.revision,
            lapsed: expired,
        });
        this.notify();
    }

    /** Applies a full read: servers that are missing in it are removed, unless their entry is newer than the read. */
    replaceAll({ entries, position, context }: RegistryContents): void {
        const isCopy = context === ReadContext.newEra;
        const afterOutage = context !== ReadContext.continuous;
        for (const item of entries.values()) {
            if (isCopy) {
                this.putFromCopy(item);
            }
            else {
                this.register(item.entry, item.position);
            }
        }
        [...this.registrations.keys()].filter(id => !entries.has(id))
            .forEach(id => this.unregister(id, position, afterOutage));
        this.settleDistrusted();
        if (!this.loaded || afterOutage) {
            this.unstableUntil = monotonicNow() + reregistrationMilliseconds;
        }
        this.loaded = true;
        this.notify();
    }

    /** Servers that are known to have left or to be leaving. */
    get knownDepartures(): KnownDeparture[] {
        const now = monotonicNow();
        return [...this.registrations.values()].filter(registration => hasLeft(registration)).map(registration => {
            const { entry: { id, bornAt, heartbeats }, leavingSince } = registration;
            const announced = this.announcements.timeOf({ id, bornAt }) !== undefined;
            return { id, bornAt, heartbeats, announced, milliseconds: now - leavingSince! };
        });
    }

    /**
     * Applies departures that another router knows of. One that the server has not announced itself holds like what is known
     * beside a copy of the store: until the server states something newer, or its entry has outlasted the time of a lapse.
     */
    learnDepartures(departures: readonly KnownDeparture[]): void {
        for (const departure of departures) {
            const leavingSince = monotonicNow() - departure.milliseconds;
            if (departure.announced) {
                this.announcements.record(departure, leavingSince);
            }
            const known = this.registrations.get(departure.id);
            if (known?.leavingSince !== undefined || known === undefined || !isSameStart(known.entry, departure)) {
                continue;
            }
            if (departure.announced) {
                this.registrations.set(departure.id, { ...known, leavingSince, graceEndsAt: undefined });
            }
            else if (known.entry.heartbeats <= departure.heartbeats) {
                this.registrations.set(departure.id, { ...known, leavingSince, removed: true, graceEndsAt: undefined });
                this.distrusted.add({ entry: known.entry, position: known.position });
            }
        }
        this.notify();
    }

    /** Number of servers of which more is known than the store's copy holds. */
    get distrustedCount(): number {
        return this.distrusted.size;
    }

    /**
     * A copy's entry counts if the server made it after what is known of the server. Whether that was before the server left
     * cannot be told, so that a start of a server which is known to have left stays out.
     */
    private putFromCopy(item: RegistryItem): void {
        const { entry, position } = item;
        const known = this.registrations.get(entry.id);
        const isGone = known !== undefined && hasLeft(known);
        const isOfSameStart = known !== undefined && isSameStart(known.entry, entry);
        const hasLapsed = known?.removed === true && !isGone && isOfSameStart;
        if (known === undefined || hasLapsed || (isNewerStatement(entry, known.entry) && !(isGone && isOfSameStart))) {
            this.register(entry, position);
            return;
        }
        // A later change is the server's own, and applies.
        this.registrations.set(entry.id, { ...known, position });
        if (isGone || !haveSameContent(entry, known.entry)) {
            this.distrusted.add(item);
        }
    }

    /**
     * Applies entries of a copy that have outlasted the time in which they would have been replaced or removed. Called with
     * something that the store has just said, which would have come after a removal.
     */
    private settleDistrusted(): void {
        for (const { entry, position } of this.distrusted.takeOutlasted()) {
            this.registrations.delete(entry.id);
            this.register(entry, position);
        }
    }

    /**
     * Applies the placement leader's state of servers. Each correction is valid until it expires or the server's
     * registry entry changes. Corrections for another start of the server are ignored.
     */
    applyNotice(servers: readonly ServerNotice[]): void {
        const expiresAt = monotonicNow() + noticeLifetimeMilliseconds;
        for (const notice of servers) {
            const registration = this.registrations.get(notice.id);
            if (registration !== undefined && isSameStart(registration.entry, notice)) {
                this.notices.set(notice.id, { notice, expiresAt, entry: registration.entry });
            }
        }
        this.currentGeneration++;
        [...this.noticeListeners].forEach(listener => listener());
    }

    /**
     * Whether an unexpired notice shows that a server which was chosen for the layers no longer computes them. The
     * registry entry is not considered, since it may be older than the notice on which the choice was based.
     */
    hasDroppedLayers(server: ServerEntry, layers: LayerRange): boolean {
        const applied = this.notices.get(server.id);
        if (applied === undefined || applied.expiresAt < monotonicNow()) {
            return false;
        }
        const { notice } = applied;
        return notice.lost || !isSameStart(notice, server) || !covers(notice.layers, layers);
    }

    /** Of all services if none is given. */
    private present(service?: string): Registration[] {
        const now = monotonicNow();
        return [...this.registrations.values()].filter(({ entry, leavingSince, graceEndsAt }) =>
            (service === undefined || entry.service === service)
            && (leavingSince === undefined || (graceEndsAt ?? 0) > now)
        );
    }

    /** Returns undefined for a server that a notice reports as lost. */
    private applyNoticeTo({ entry }: Registration): ServerEntry | undefined {
        const applied = this.notices.get(entry.id);
        if (applied === undefined) {
            return entry;
        }
        const { notice, expiresAt } = applied;
        if (expiresAt < monotonicNow() || applied.entry !== entry || !isSameStart(notice, entry)) {
            this.notices.delete(entry.id);
            return entry;
        }
        return notice.lost ? undefined : { ...entry, layers: notice.layers };
    }

    private notify(): void {
        this.currentGeneration++;
        this.evictRemoved();
        this.announcements.forgetOld();
        [...this.listeners].forEach(listener => listener());
    }

    private evictRemoved(): void {
        const limit = monotonicNow() - removedRetentionMilliseconds;
        for (const [id, { removed, leavingSince }] of this.registrations) {
            if (removed && (leavingSince ?? 0) < limit) {
                this.registrations.delete(id);
                this.notices.delete(id);
                this.distrusted.delete(id);
            }
        }
    }
}

function covers(held: LayerRange | undefined, layers: LayerRange): boolean {
    return held !== undefined && held.first <= layers.first && layers.last <= held.last;
}
