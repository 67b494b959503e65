/**
 * What this router knows of backend servers, from the platform's list, their own events, other routers' notices and
 * its own work. Keeps links to a subset of them. A backend server that leaves gets no new work from the first signal
 * on, and a late sign that it is live does not undo that for its incarnation.
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
    eventSilenceMilliseconds,
    failedNoticeMilliseconds,
    maximumLeavingServers,
    missingListsBeforeRemoval,
    tickMilliseconds,
} from "./constants.js";
import { EventLinks } from "./event-links.js";
import { HoldingsSweep } from "./holdings-sweep.js";
import { PrefixIndex } from "./prefix-index.js";
import { SubsetKeeper } from "./subset-keeper.js";
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
    /** Backend servers that outlier ejection leaves out for now. */
    readonly ejected?: () => ReadonlySet<string>;
    /** Told of each list that was read, with VMs of every kind. */
    readonly onList?: (entries: readonly VmEntry[]) => void;
}

const noneEjected: ReadonlySet<string> = new Set();

export class BackendServerRegistry implements ManagedComponent {
    readonly name = "backend servers";
    readonly prefixes = new PrefixIndex();
    private readonly records = new Map<string, BackendServerRecord>();
    /** The highest incarnation of each backend server that is known to be leaving. */
    private readonly leavingIncarnations = new LRUCache<string, number>({ max: maximumLeavingServers });
    private readonly links: EventLinks;
    private readonly sweep: HoldingsSweep;
    private readonly poller: VmListPoller;
    private readonly subset: SubsetKeeper;
    private readonly unknownClasses = new Set<string>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private removeListener: (() => void) | undefined;

    constructor(private readonly options: BackendServerRegistryOptions) {
        this.links = new EventLinks(options.connections, {
            event: (record, event) => this.receive(record, event),
            silent: record => this.unreachable(record),
        });
        this.sweep = new HoldingsSweep(
            options.connections,
            (record, report) => {
                this.heard(record);
                this.setHoldings(record, report.holdings, report.role);
                if (report.draining) {
                    this.leave(record, true);
                }
            },
            record => this.unreachable(record, monotonicNow() + failedNoticeMilliseconds),
        );
        this.poller = new VmListPoller(
            options.vmList,
            () => options.fleet.members().length,
            options.random ?? new SystemRandom(),
            options.logger,
            entries => this.applyList(entries),
        );
        this.subset = new SubsetKeeper(options.fleet, options.depths ?? defaultSubsetDepths);
    }

    /** Reads the platform's list once; goes on without it if it cannot be read. */
    async start(): Promise<void> {
        this.removeListener = this.options.fleet.onNotice(notice => this.applyNotice(notice));
        await this.poller.start();
        this.timer = setInterval(() => this.tick(), tickMilliseconds);
        this.tick();
    }

    async stop(): Promise<void> {
        this.poller.stop();
        clearInterval(this.timer);
        this.removeListener?.();
        this.links.close();
    }

    /** Rises whenever the usable servers of the subset or their holdings change. */
    get revision(): number {
        return this.subset.revision;
    }

    /** Every known backend server. */
    list(): readonly BackendServerRecord[] {
        return [...this.records.values()];
    }

    get(id: string): BackendServerRecord | undefined {
        return this.records.get(id);
    }

    /** Backend servers of the subset that get new work. */
    candidates(): readonly BackendServerRecord[] {
        const now = monotonicNow();
        const records: BackendServerRecord[] = [];
        for (const id of this.subset.chosen) {
            const record = this.records.get(id);
            if (record?.isUsable(now)) {
                records.push(record);
            }
        }
        return records;
    }

    /** Layer tokens a second of all servers that are not leaving. */
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
        const ejected = this.options.ejected?.() ?? noneEjected;
        return ejected.has(id) ? BackendServerState.ejected : BackendServerState.live;
    }

    /** A backend server refused work because it is leaving. */
    reportDraining(id: string): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            this.leave(record, true);
        }
    }

    /** No connection to a backend server could be made. */
    reportUnreachable(id: string): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            this.unreachable(record, monotonicNow() + failedNoticeMilliseconds);
        }
    }

    private tick(): void {
        this.expireMarks(monotonicNow());
        this.links.checkSilence(monotonicNow());
        this.sweep.tick(this.recordsWithoutLink());
        this.refreshSubset();
        this.options.metrics.gauge("pomelostall.backend_servers.known", this.records.size);
        this.options.metrics.gauge("pomelostall.backend_servers.linked", this.links.size);
    }

    /** Ends marks that came without own evidence, so that the servers are tried again. */
    private expireMarks(now: number): void {
        for (const record of this.records.values()) {
            if (record.expireUnreachable(now)) {
                this.subset.usabilityChanged();
            }
        }
    }

    private refreshSubset(): void {
        const linked = this.subset.refresh(this.records, monotonicNow());
        if (linked !== undefined) {
            this.links.setRecords(linked);
        }
    }

    private recordsWithoutLink(): BackendServerRecord[] {
        const { availabilityZone, region } = this.options.fleet.self.location;
        const distance = ({ description }: BackendServerRecord) =>
            description.availabilityZone === availabilityZone ? 0 : description.region === region ? 1 : 2;
        return this.list().filter(record => !record.leaving && !this.links.has(record.id))
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
            record.missingFromLists = listed.has(id) ? 0 : record.missingFromLists + 1;
            if (record.missingFromLists >= missingListsBeforeRemoval && !this.heardLately(record)) {
                this.remove(id);
            }
        }
        this.refreshSubset();
    }

    private applyEntry(entry: VmEntry): void {
        const serverClass = this.options.configuration.current.backendServerClasses.get(entry.className);
        if (serverClass === undefined) {
            this.warnOfClass(entry.className);
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
            this.leave(record, true);
        }
    }

    private addRecord(description: BackendServerRecord["description"]): BackendServerRecord {
        const { id, incarnation } = description;
        const record = new BackendServerRecord(description);
        this.prefixes.drop(id);
        this.records.set(id, record);
        this.subset.serversChanged();
        if ((this.leavingIncarnations.get(id) ?? -1) >= incarnation) {
            record.markLeaving();
        }
        return record;
    }

    private warnOfClass(className: string): void {
        if (!this.unknownClasses.has(className)) {
            this.unknownClasses.add(className);
            this.options.logger.warn("backend servers of a class that the sheet does not have are left out", {
                className,
            });
        }
    }

    private remove(id: string): void {
        this.records.delete(id);
        this.prefixes.drop(id);
        this.subset.serversChanged();
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
            this.leave(record, false);
        }
        else if (!this.heardLately(record) && record.markUnreachable(monotonicNow() + failedNoticeMilliseconds)) {
            this.subset.usabilityChanged();
        }
    }

    private receive(record: BackendServerRecord, event: BackendServerEvent): void {
        this.heard(record);
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
                this.leave(record, true);
                break;
            case "heartbeat":
                break;
        }
    }

    private heard(record: BackendServerRecord): void {
        record.lastEventAt = monotonicNow();
        if (record.markReachable()) {
            this.subset.usabilityChanged();
        }
    }

    private heardLately(record: BackendServerRecord): boolean {
        return record.lastEventAt !== undefined && monotonicNow() - record.lastEventAt < eventSilenceMilliseconds;
    }

    private setHoldings(record: BackendServerRecord, holdings: readonly Holding[], role: ServingRole): void {
        if (record.role !== role || JSON.stringify(record.holdings) !== JSON.stringify(holdings)) {
            record.holdings = holdings;
            record.role = role;
            this.subset.serversChanged();
        }
    }

    private leave(record: BackendServerRecord, publish: boolean): void {
        if (!record.markLeaving()) {
            return;
        }
        const { id, incarnation } = record.description;
        this.leavingIncarnations.set(id, Math.max(incarnation, this.leavingIncarnations.get(id) ?? -1));
        this.subset.usabilityChanged();
        this.options.logger.info("a backend server is leaving", { backendServer: id, incarnation });
        if (publish) {
            this.options.fleet.publishNotice({ backendServer: id, incarnation, signal: BackendServerSignal.leaving });
        }
    }

    private unreachable(record: BackendServerRecord, until?: number): void {
        if (!record.markUnreachable(until)) {
            return;
        }
        this.subset.usabilityChanged();
        this.prefixes.drop(record.id);
        const { id, incarnation } = record.description;
        this.options.metrics.increment("pomelostall.backend_servers.unreachable");
        this.options.logger.warn("a backend server is unreachable", { backendServer: id, incarnation });
        if (!record.leaving && this.links.has(id)) {
            this.options.fleet.publishNotice({ backendServer: id, incarnation, signal: BackendServerSignal.failed });
        }
    }
}
