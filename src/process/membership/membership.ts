/** Membership between routers: puts the view, the probes, the forwarding and the search for seeds together. */
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import { type BackendServerNotice, type Fleet, type RouterMember, RouterState } from "../../domain/fleet.js";
import type { VmList } from "../../domain/platform.js";
import type { Location } from "../../domain/topology.js";
import type { VersionAnnouncement, VersionProvider } from "../../domain/version-exchange.js";
import { FleetView } from "./fleet-view.js";
import { Forwarder } from "./forwarder.js";
import { choosePeers } from "./peer-graph.js";
import { Prober } from "./prober.js";
import { SeedFinder } from "./seed-finder.js";
import { defaultMembershipSettings, type MembershipSettings } from "./settings.js";
import { Suspicions } from "./suspicions.js";
import { RuntimeTimers, type Timers } from "./timers.js";
import type { FleetState, GossipMessage, PeerHandler, PeerTarget, PeerTransport } from "./types.js";

export interface MembershipOptions {
    readonly id: string;
    /** Base URL under which other routers reach this one. */
    readonly address: string;
    readonly location: Location;
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
    readonly seeds: SeedFinder;
    readonly prober: Prober;
    private readonly forwarder: Forwarder;
    private readonly suspicions: Suspicions;
    private readonly timers: Timers;
    private readonly noticeListeners = new Set<Listener<BackendServerNotice>>();
    private readonly announcementListeners = new Set<Listener<VersionAnnouncement>>();
    private readonly memberListeners = new Set<Listener<RouterMember>>();
    private versionProvider: VersionProvider | undefined;
    private knownPeers: readonly RouterMember[] | undefined;
    private stopped = false;

    constructor(options: MembershipOptions, private readonly parts: MembershipParts) {
        this.settings = { ...defaultMembershipSettings, ...options.settings };
        this.timers = parts.timers ?? new RuntimeTimers();
        const { id, address, location } = options;
        this.view = new FleetView({ id, address, location }, this.settings, {
            memberChanged: (member, source) => this.memberChanged(member, source),
            noticeArrived: notice => notify(this.noticeListeners, notice),
            versionAnnounced: announcement => notify(this.announcementListeners, announcement),
            newsQueued: () => this.newsQueued(),
        });
        this.suspicions = new Suspicions(this.timers, (suspect, incarnation) => {
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
        this.forwarder = new Forwarder(shared);
        this.prober = new Prober({ ...shared, paused: () => this.resumeAfterPause() });
        this.seeds = new SeedFinder({ ...shared, vmList: parts.vmList, seeds: options.seeds });
    }

    async start(): Promise<void> {
        this.prober.start();
        await this.seeds.start();
    }

    /** Leaves the fleet and tells the others. */
    async stop(): Promise<void> {
        this.seeds.stop();
        this.prober.stop();
        this.view.leave();
        await this.forwarder.flush();
        this.halt();
    }

    /** Stops without a word, as a crash does; for tests. */
    halt(): void {
        this.stopped = true;
        this.seeds.stop();
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

    /** The routers that this one probes. */
    peers(): readonly RouterMember[] {
        if (this.knownPeers === undefined) {
            this.knownPeers = choosePeers(this.view.self, this.view.table.presentMembers());
            this.parts.transport.keep(new Set(this.knownPeers.map(peer => peer.address)));
        }
        return this.knownPeers;
    }

    /** Calls the listener when another router joins, leaves, dies or comes back; the result removes it. */
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
        this.view.demand.report(customer, tokensPerSecond);
    }

    fleetDemand(customer: string): number {
        return this.view.demand.mean(customer) * this.view.table.presentMembers().length;
    }

    /** Sets what peers may read of this router's configuration. */
    provideVersions(provider: VersionProvider): void {
        this.versionProvider = provider;
    }

    gossip(message: GossipMessage): GossipMessage {
        return this.view.answer(message);
    }

    probeIndirectly(target: PeerTarget): Promise<boolean> {
        return this.prober.probe(target);
    }

    exchange(state: FleetState): FleetState {
        this.view.merge(state, undefined);
        return this.view.state();
    }

    readVersion(minimumVersion: number): ReturnType<PeerHandler["readVersion"]> {
        return this.versionProvider?.readStored(minimumVersion);
    }

    private async exchangeWith(address: string): Promise<boolean> {
        const { transport, logger, metrics } = this.parts;
        try {
            const timeout = this.settings.exchangeTimeoutMilliseconds;
            const state = await transport.exchange(address, this.view.state(), timeout);
            if (!this.stopped) {
                this.view.merge(state, undefined);
            }
            metrics.increment("pomelostall.membership.exchanges");
            return true;
        }
        catch (error) {
            logger.debug("a router could not be reached", { address, error: String(error) });
            return false;
        }
    }

    private memberChanged(member: RouterMember, source: string | undefined): void {
        const { logger, metrics } = this.parts;
        this.knownPeers = undefined;
        if (member.state === RouterState.suspect) {
            const { suspicionMilliseconds, foreignSuspicionMilliseconds } = this.settings;
            const foreign = source === undefined ? 0 : foreignSuspicionMilliseconds;
            this.suspicions.start(member, suspicionMilliseconds + foreign);
        }
        else {
            this.suspicions.cancel(member.id);
        }
        if (member.state === RouterState.dead || member.state === RouterState.left) {
            this.forgetLater(member);
        }
        logger.info("a router's state changed", {
            router: member.id,
            state: member.state,
            incarnation: member.incarnation,
        });
        metrics.gauge("pomelostall.membership.members", this.view.table.presentMembers().length);
        notify(this.memberListeners, member);
    }

    private forgetLater(member: RouterMember): void {
        this.timers.after(this.settings.forgetMilliseconds, () => {
            if (this.view.table.get(member.id) === member) {
                this.view.table.remove(member.id);
            }
        });
    }

    private newsQueued(): void {
        if (!this.stopped) {
            this.forwarder.schedule();
        }
    }

    /** Others may hold this router for dead; the higher incarnation tells them that it is not. */
    private resumeAfterPause(): void {
        this.parts.logger.warn("this router did not run for a while; it joins the fleet again");
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
