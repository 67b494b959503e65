/** Membership of the router fleet: combines the fleet view, failure detection, delta forwarding and seed discovery. */
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import { type BackendServerNotice, type Fleet, type RouterMember, RouterState } from "../../domain/fleet.js";
import type { VmList } from "../../domain/platform.js";
import type { Location } from "../../domain/topology.js";
import type { VersionAnnouncement, VersionProvider } from "../../domain/version-exchange.js";
import { DeltaForwarder } from "./delta-forwarder.js";
import { FleetView } from "./fleet-view.js";
import { choosePeers } from "./peer-graph.js";
import { Prober } from "./prober.js";
import { SeedFinder } from "./seed-finder.js";
import { defaultMembershipSettings, type MembershipSettings } from "./settings.js";
import { SuspicionTimers } from "./suspicion-timers.js";
import { RuntimeTimers, type Timers } from "./timers.js";
import type { FleetState, GossipMessage, PeerHandler, PeerTarget, PeerTransport } from "./types.js";

export interface MembershipOptions {
    readonly id: string;
    /** Base URL under which other routers reach this one. */
    readonly address: string;
    readonly location: Location;
    /** Base URLs of routers to join through, in addition to the platform's list of VMs. */
    readonly seeds: readonly string[];
    readonly settings?: Partial<MembershipSettings>;
}

export interface MembershipParts {
    readonly transport: PeerTransport;
    readonly vmList: VmList;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly timers?: Timers;
}

type Listener<Value> = (value: Value) => void;

export class Membership implements ManagedComponent, Fleet, PeerHandler {
    readonly name = "membership";
    readonly settings: MembershipSettings;
    readonly view: FleetView;
    readonly seedFinder: SeedFinder;
    readonly prober: Prober;
    private readonly forwarder: DeltaForwarder;
    private readonly suspicions: SuspicionTimers;
    private readonly timers: Timers;
    private readonly noticeListeners = new Set<Listener<BackendServerNotice>>();
    private readonly announcementListeners = new Set<Listener<VersionAnnouncement>>();
    private readonly memberListeners = new Set<Listener<RouterMember>>();
    private versionProvider: VersionProvider | undefined;
    private cachedPeers: readonly RouterMember[] | undefined;
    private stopped = false;

    constructor(options: MembershipOptions, private readonly parts: MembershipParts) {
        this.settings = { ...defaultMembershipSettings, ...options.settings };
        this.timers = parts.timers ?? new RuntimeTimers();
        const { id, address, location } = options;
        this.view = new FleetView({ id, address, location }, this.settings, {
            onMemberChanged: (member, source) => this.handleMemberChange(member, source),
            onNoticeReceived: notice => notify(this.noticeListeners, notice),
            onVersionAnnounced: announcement => notify(this.announcementListeners, announcement),
            onDeltaQueued: () => this.scheduleForwarding(),
        });
        this.suspicions = new SuspicionTimers(this.timers, (suspect, incarnation) => {
            this.view.setState(suspect, incarnation, RouterState.dead);
        });
        const shared = {
            view: this.view,
            transport: parts.transport,
            settings: this.settings,
            timers: this.timers,
            random: parts.random,
            peers: () => this.peers(),
            exchange: (peerAddress: string) => this.exchangeWith(peerAddress),
        };
        this.forwarder = new DeltaForwarder(shared);
        this.prober = new Prober({ ...shared, onPaused: () => this.rejoinAfterPause() });
        this.seedFinder = new SeedFinder({ ...shared, vmList: parts.vmList, seeds: options.seeds });
    }

    async start(): Promise<void> {
        this.prober.start();
        await this.seedFinder.start();
    }

    /** Announces to the peers that this router leaves, then stops. */
    async stop(): Promise<void> {
        this.seedFinder.stop();
        this.prober.stop();
        this.view.leave();
        await this.forwarder.flush();
        this.stopWithoutLeaving();
    }

    /** Stops without notifying the peers, as after a crash. Tests call it directly. */
    stopWithoutLeaving(): void {
        this.stopped = true;
        this.seedFinder.stop();
        this.prober.stop();
        this.forwarder.stop();
        this.suspicions.stop();
    }

    get self(): RouterMember {
        return this.view.self;
    }

    members(): readonly RouterMember[] {
        return this.view.table.all();
    }

    /** The routers that this router probes and keeps connections to. */
    peers(): readonly RouterMember[] {
        if (this.cachedPeers === undefined) {
            this.cachedPeers = choosePeers(this.view.self, this.view.table.presentMembers());
            this.parts.transport.keepConnectionsOpen(new Set(this.cachedPeers.map(peer => peer.address)));
        }
        return this.cachedPeers;
    }

    /** Calls the listener when another router's state or incarnation changes. Returns a function that removes it. */
    onMemberChange(listener: Listener<RouterMember>): () => void {
        return subscribe(this.memberListeners, listener);
    }

    publishNotice(notice: BackendServerNotice): void {
        this.view.publishNotice(notice);
    }

    onNotice(listener: Listener<BackendServerNotice>): () => void {
        return subscribe(this.noticeListeners, listener);
    }

    onAnnouncement(listener: Listener<VersionAnnouncement>): () => void {
        return subscribe(this.announcementListeners, listener);
    }

    reportDemand(customer: string, tokensPerSecond: number): void {
        this.view.demand.setOwnDemand(customer, tokensPerSecond);
    }

    fleetDemand(customer: string): number {
        return this.view.demand.mean(customer) * this.view.table.presentMembers().length;
    }

    /** Sets the provider of the configuration versions that peers may read from this router. */
    provideVersions(provider: VersionProvider): void {
        this.versionProvider = provider;
    }

    gossip(message: GossipMessage): GossipMessage {
        return this.view.handleMessage(message);
    }

    probeIndirectly(target: PeerTarget): Promise<boolean> {
        return this.prober.probe(target);
    }

    exchange(state: FleetState): FleetState {
        this.view.merge(state, undefined);
        return this.view.fullState();
    }

    readVersion(minimumVersion: number): ReturnType<PeerHandler["readVersion"]> {
        return this.versionProvider?.readStored(minimumVersion);
    }

    private async exchangeWith(address: string): Promise<boolean> {
        const { transport, logger, metrics } = this.parts;
        try {
            const timeout = this.settings.exchangeTimeoutMilliseconds;
            const state = await transport.exchange(address, this.view.fullState(), timeout);
            if (!this.stopped) {
                this.view.merge(state, undefined);
            }
            metrics.increment("pomelostall.membership.exchanges");
            return true;
        }
        catch (error) {
            logger.debug("state exchange with router failed", { address, error: String(error) });
            return false;
        }
    }

    private handleMemberChange(member: RouterMember, source: string | undefined): void {
        const { logger, metrics } = this.parts;
        this.cachedPeers = undefined;
        if (member.state === RouterState.suspect) {
            const { suspicionMilliseconds, reportedSuspicionExtraMilliseconds } = this.settings;
            const extraMilliseconds = source === undefined ? 0 : reportedSuspicionExtraMilliseconds;
            this.suspicions.start(member, suspicionMilliseconds + extraMilliseconds);
        }
        else {
            this.suspicions.cancel(member.id);
        }
        if (member.state === RouterState.dead || member.state === RouterState.left) {
            this.scheduleRemoval(member);
        }
        logger.info("router's membership state changed", {
            router: member.id,
            state: member.state,
            incarnation: member.incarnation,
        });
        metrics.gauge("pomelostall.membership.members", this.view.table.presentMembers().length);
        notify(this.memberListeners, member);
    }

    private scheduleRemoval(member: RouterMember): void {
        this.timers.after(this.settings.departedRetentionMilliseconds, () => {
            if (this.view.table.get(member.id) === member) {
                this.view.table.remove(member.id);
            }
        });
    }

    private scheduleForwarding(): void {
        if (!this.stopped) {
            this.forwarder.scheduleFlush();
        }
    }

    /** Other routers may have declared this one dead during the pause; a higher incarnation overrides that. */
    private rejoinAfterPause(): void {
        this.parts.logger.warn("this router was paused; rejoining the fleet with a higher incarnation");
        this.view.raiseIncarnation();
        const [peer] = this.peers();
        if (peer !== undefined) {
            void this.exchangeWith(peer.address);
        }
    }
}

function subscribe<Value>(listeners: Set<Listener<Value>>, listener: Listener<Value>): () => void {
    listeners.add(listener);
    return () => listeners.delete(listener);
}

function notify<Value>(listeners: ReadonlySet<Listener<Value>>, value: Value): void {
    for (const listener of [...listeners]) {
        listener(value);
    }
}
