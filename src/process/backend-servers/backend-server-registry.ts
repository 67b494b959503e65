/**
 * Registry of backend servers, fed by the platform's VM list, the servers' own events, notices from other routers and
 * the outcomes of this router's attempts. Subscribes to the events of a subset of the servers. A leaving server gets no
 * new work after the first signal; later reports that it is live are ignored for the same incarnation.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { type RandomSource, SystemRandom } from "../../common/random.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { Holding, ServingRole } from "../../domain/backend-server.js";
import type { ConfigurationSource } from "../../domain/configuration.js";
import type { BackendServerEvent } from "../../domain/engine-protocol.js";
import { type BackendServerNotice, BackendServerSignal, type Fleet } from "../../domain/fleet.js";
import type { VmEntry, VmList } from "../../domain/platform.js";
import { BackendServerRecord } from "./backend-server-record.js";
import {
    eventTimeoutMilliseconds,
    maximumLeavingServers,
    missingListsBeforeRemoval,
    tickMilliseconds,
    unreachableExpiryMilliseconds,
} from "./constants.js";
import { EventSubscriptions } from "./event-subscriptions.js";
import { HoldingsPoller } from "./holdings-poller.js";
import { PrefixIndex } from "./prefix-index.js";
import { SubsetSelector } from "./subset-selector.js";
import { defaultSubsetDepths, type SubsetDepths } from "./subset.js";
import { BackendServerState } from "./types.js";
import { VmListPoller } from "./vm-list-poller.js";

export interface BackendServerRegistryOptions {
    readonly vmList: VmList;
    readonly connections: BackendServerConnections;
    readonly fleet: Fleet;
    readonly configuration: ConfigurationSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random?: RandomSource;
    readonly depths?: SubsetDepths;
    /** Returns the IDs of the backend servers that are currently ejected as outliers. */
    readonly ejected?: () => ReadonlySet<string>;
    /** Called with each VM list that was read, including VMs of other kinds. */
    readonly onList?: (entries: readonly VmEntry[]) => void;
}

const noEjectedServers: ReadonlySet<string> = new Set();

export class BackendServerRegistry implements ManagedComponent {
    readonly name = "backend servers";
    readonly prefixes = new PrefixIndex();
    private readonly records = new Map<string, BackendServerRecord>();
    /** The highest leaving incarnation of each backend server; kept after the server is removed from the records. */
    private readonly leavingIncarnations = new LRUCache<string, number>({ max: maximumLeavingServers });
    private readonly eventSubscriptions: EventSubscriptions;
    private readonly holdingsPoller: HoldingsPoller;
    private readonly vmListPoller: VmListPoller;
    private readonly subsetSelector: SubsetSelector;
    private readonly unknownClasses = new Set<string>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private removeNoticeListener: (() => void) | undefined;

    constructor(private readonly options: BackendServerRegistryOptions) {
        this.eventSubscriptions = new EventSubscriptions(options.connections, {
            onEvent: (record, event) => this.handleEvent(record, event),
            onInterrupted: record => this.handleUnreachable(record),
        });
        this.holdingsPoller = new HoldingsPoller(
            options.connections,
            (record, report) => {
                this.recordContact(record);
                this.setHoldings(record, report.holdings, report.role);
                if (report.draining) {
                    this.handleLeaving(record, true);
                }
            },
            record => this.handleUnreachable(record, monotonicNow() + unreachableExpiryMilliseconds),
        );
        this.vmListPoller = new VmListPoller(
            options.vmList,
            () => options.fleet.members().length,
            options.random ?? new SystemRandom(),
            options.logger,
            entries => this.applyList(entries),
        );
        this.subsetSelector = new SubsetSelector(options.fleet, options.depths ?? defaultSubsetDepths);
    }

    /** Completes after the first read of the VM list, even if that read fails. */
    async start(): Promise<void> {
        this.removeNoticeListener = this.options.fleet.onNotice(notice => this.applyNotice(notice));
        await this.vmListPoller.start();
        this.timer = setInterval(() => this.tick(), tickMilliseconds);
        this.tick();
    }

    async stop(): Promise<void> {
        this.vmListPoller.stop();
        clearInterval(this.timer);
        this.removeNoticeListener?.();
        this.eventSubscriptions.close();
    }

    /** Increases whenever the usable servers of the subset or their holdings may have changed. */
    get revision(): number {
        return this.subsetSelector.revision;
    }

    /** All known backend servers, including leaving and unreachable ones. */
    list(): readonly BackendServerRecord[] {
        return [...this.records.values()];
    }

    get(id: string): BackendServerRecord | undefined {
        return this.records.get(id);
    }

    /** Backend servers of the subset that are neither leaving nor unreachable. */
    candidates(): readonly BackendServerRecord[] {
        const now = monotonicNow();
        const records: BackendServerRecord[] = [];
        for (const id of this.subsetSelector.selected) {
            const record = this.records.get(id);
            if (record?.isUsable(now)) {
                records.push(record);
            }
        }
        return records;
    }

    /** Total capacity of all servers that are not leaving, in layer tokens per second. */
    get totalLayerTokensPerSecond(): number {
        return this.list().filter(record => !record.leaving)
            .reduce((sum, record) => sum + record.description.class.layerTokensPerSecond, 0);
    }

    state(id: string): BackendServerState | undefined {
        const record = this.records.get(id);
        if (record === undefined) {
            return undefined;
        }
        if (record.leaving) {
            return BackendServerState.leaving;
        }
        if (record.isUnreachable(monotonicNow())) {
            return BackendServerState.unreachable;
        }
        const ejected = this.options.ejected?.() ?? noEjectedServers;
        return ejected.has(id) ? BackendServerState.ejected : BackendServerState.live;
    }

    /** Marks a backend server as leaving after it refused work for that reason, and notifies the other routers. */
    reportDraining(id: string): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            this.handleLeaving(record, true);
        }
    }

    /** Marks a backend server as unreachable for a limited time after a failed connection. */
    reportUnreachable(id: string): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            this.handleUnreachable(record, monotonicNow() + unreachableExpiryMilliseconds);
        }
    }

    private tick(): void {
        this.expireUnreachableMarks(monotonicNow());
        this.eventSubscriptions.checkTimeouts(monotonicNow());
        this.holdingsPoller.tick(this.recordsWithoutSubscription());
        this.refreshSubset();
        this.options.metrics.gauge("pomelostall.backend_servers.known", this.records.size);
        this.options.metrics.gauge("pomelostall.backend_servers.linked", this.eventSubscriptions.size);
    }

    /** Clears expired unreachable marks so that those servers can be selected again. */
    private expireUnreachableMarks(now: number): void {
        for (const record of this.records.values()) {
            if (record.expireUnreachable(now)) {
                this.subsetSelector.invalidateSelection();
            }
        }
    }

    private refreshSubset(): void {
        const recordsToSubscribe = this.subsetSelector.refresh(this.records, monotonicNow());
        if (recordsToSubscribe !== undefined) {
            this.eventSubscriptions.setRecords(recordsToSubscribe);
        }
    }

    private recordsWithoutSubscription(): BackendServerRecord[] {
        const { availabilityZone, region } = this.options.fleet.self.location;
        const distance = ({ description }: BackendServerRecord) =>
            description.availabilityZone === availabilityZone ? 0 : description.region === region ? 1 : 2;
        return this.list().filter(record => !record.leaving && !this.eventSubscriptions.has(record.id))
            .sort((left, right) => distance(left) - distance(right));
    }

    private applyList(entries: readonly VmEntry[]): void {
        this.options.onList?.(entries);
        const servers = entries.filter(entry => entry.kind === "backend-server");
        const listed = new Set(servers.map(entry => entry.id));
        for (const entry of servers) {
            this.applyEntry(entry);
        }
        for (const [id, record] of this.records) {
            record.consecutiveMissingLists = listed.has(id) ? 0 : record.consecutiveMissingLists + 1;
            if (record.consecutiveMissingLists >= missingListsBeforeRemoval && !this.hasRecentContact(record)) {
                this.remove(id);
            }
        }
        this.refreshSubset();
    }

    private applyEntry(entry: VmEntry): void {
        const serverClass = this.options.configuration.current.backendServerClasses.get(entry.className);
        if (serverClass === undefined) {
            this.warnUnknownClass(entry.className);
            return;
        }
        let record = this.records.get(entry.id);
        if (record !== undefined && entry.incarnation < record.description.incarnation) {
            return;
        }
        const { id, address, region, availabilityZone, incarnation } = entry;
        const description = { id, address, region, availabilityZone, class: serverClass, incarnation };
        if (record === undefined || incarnation > record.description.incarnation) {
            record = this.addRecord(description);
        }
        record.description = description;
        if (entry.state === "leaving") {
            this.handleLeaving(record, true);
        }
    }

    private addRecord(description: BackendServerRecord["description"]): BackendServerRecord {
        const { id, incarnation } = description;
        const record = new BackendServerRecord(description);
        this.prefixes.drop(id);
        this.records.set(id, record);
        this.subsetSelector.invalidateRings();
        if ((this.leavingIncarnations.get(id) ?? -1) >= incarnation) {
            record.markLeaving();
        }
        return record;
    }

    private warnUnknownClass(className: string): void {
        if (!this.unknownClasses.has(className)) {
            this.unknownClasses.add(className);
            this.options.logger.warn("ignoring backend servers whose class is not in the configuration", {
                className,
            });
        }
    }

    private remove(id: string): void {
        this.records.delete(id);
        this.prefixes.drop(id);
        this.subsetSelector.invalidateRings();
    }

    private applyNotice(notice: BackendServerNotice): void {
        const { backendServer, incarnation, signal } = notice;
        const record = this.records.get(backendServer);
        if (signal === BackendServerSignal.leaving) {
            const known = this.leavingIncarnations.get(backendServer) ?? -1;
            this.leavingIncarnations.set(backendServer, Math.max(known, incarnation));
        }
        if (record === undefined || incarnation < record.description.incarnation) {
            return;
        }
        if (signal === BackendServerSignal.leaving) {
            this.handleLeaving(record, false);
        }
        else if (
            !this.hasRecentContact(record) && record.markUnreachable(monotonicNow() + unreachableExpiryMilliseconds)
        ) {
            this.subsetSelector.invalidateSelection();
        }
    }

    private handleEvent(record: BackendServerRecord, event: BackendServerEvent): void {
        this.recordContact(record);
        switch (event.type) {
            case "load":
                record.setLoad(event.load, monotonicNow());
                break;
            case "cache":
                this.prefixes.apply(record.id, event);
                break;
            case "holdings":
                this.setHoldings(record, event.holdings, event.role);
                break;
            case "draining":
                this.handleLeaving(record, true);
                break;
            case "heartbeat":
                break;
        }
    }

    private recordContact(record: BackendServerRecord): void {
        record.lastContactAt = monotonicNow();
        if (record.markReachable()) {
            this.subsetSelector.invalidateSelection();
        }
    }

    private hasRecentContact(record: BackendServerRecord): boolean {
        return record.lastContactAt !== undefined && monotonicNow() - record.lastContactAt < eventTimeoutMilliseconds;
    }

    private setHoldings(record: BackendServerRecord, holdings: readonly Holding[], role: ServingRole): void {
        if (record.role !== role || JSON.stringify(record.holdings) !== JSON.stringify(holdings)) {
            record.holdings = holdings;
            record.role = role;
            this.subsetSelector.invalidateRings();
        }
    }

    private handleLeaving(record: BackendServerRecord, publish: boolean): void {
        if (!record.markLeaving()) {
            return;
        }
        const { id, incarnation } = record.description;
        this.leavingIncarnations.set(id, Math.max(incarnation, this.leavingIncarnations.get(id) ?? -1));
        this.subsetSelector.invalidateSelection();
        this.options.logger.info("backend server is leaving; sending it no new work", {
            backendServer: id,
            incarnation,
        });
        if (publish) {
            this.options.fleet.publishNotice({ backendServer: id, incarnation, signal: BackendServerSignal.leaving });
        }
    }

    private handleUnreachable(record: BackendServerRecord, until?: number): void {
        if (!record.markUnreachable(until)) {
            return;
        }
        this.subsetSelector.invalidateSelection();
        this.prefixes.drop(record.id);
        const { id, incarnation } = record.description;
        this.options.metrics.increment("pomelostall.backend_servers.unreachable");
        this.options.logger.warn(
            "backend server is unreachable; sending it no new work until it answers or the unreachable mark expires",
            {
                backendServer: id,
                incarnation,
            },
        );
        if (!record.leaving && this.eventSubscriptions.has(id)) {
            this.options.fleet.publishNotice({ backendServer: id, incarnation, signal: BackendServerSignal.failed });
        }
    }
}
