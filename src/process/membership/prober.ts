/** Probes one peer after the other, and asks others before it suspects one. */
import { monotonicNow } from "../../common/clock.js";
import type { RandomSource } from "../../common/random.js";
import { shuffle } from "../../common/random.js";
import { type RouterMember, RouterState } from "../../domain/fleet.js";
import type { FleetView } from "./fleet-view.js";
import type { MembershipSettings } from "./settings.js";
import type { Timers } from "./timers.js";
import type { PeerTarget, PeerTransport } from "./types.js";

/** Probe periods without a tick after which this router takes itself to have been paused. */
const pausePeriods = 3;
/** Probe periods differ by this share, so that routers do not fall into step. */
const jitterShare = 0.1;
/** Different digests in a row after which two routers compare everything. */
const differencesBeforeExchange = 3;

export interface ProberParts {
    readonly view: FleetView;
    readonly transport: PeerTransport;
    readonly settings: MembershipSettings;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly peers: () => readonly RouterMember[];
    readonly exchange: (address: string) => Promise<boolean>;
    /** This router did not run for a while. */
    readonly paused: () => void;
}

export class Prober {
    private cancelTick: () => void = () => undefined;
    private lastTick = monotonicNow();
    private lastExchange = Number.NEGATIVE_INFINITY;
    private next = 0;
    private readonly checking = new Set<string>();
    /** Answers in a row that showed another view of the fleet. */
    private differences = 0;

    constructor(private readonly parts: ProberParts) {}

    start(): void {
        this.lastTick = monotonicNow();
        this.schedule();
    }

    stop(): void {
        this.cancelTick();
    }

    /** One message to a peer, with its answer taken in. Returns whether it answered. */
    async probe(peer: PeerTarget): Promise<boolean> {
        const { view, transport, settings } = this.parts;
        const message = view.createProbe();
        try {
            const reply = await transport.gossip(peer.address, message, settings.probeTimeoutMilliseconds);
            view.settle(message, reply);
            this.compare(peer, reply.digest, reply.unknownSender);
            return true;
        }
        catch {
            return false;
        }
    }

    private schedule(): void {
        const { timers, settings, random } = this.parts;
        const jitter = 1 + (random.next() * 2 - 1) * jitterShare;
        this.cancelTick = timers.after(settings.probePeriodMilliseconds * jitter, () => {
            this.tick();
            this.schedule();
        });
    }

    private tick(): void {
        const now = monotonicNow();
        const wasPaused = now - this.lastTick > pausePeriods * this.parts.settings.probePeriodMilliseconds;
        this.lastTick = now;
        if (wasPaused) {
            this.parts.paused();
        }
        const peers = this.parts.peers();
        const peer = peers[this.next++ % Math.max(1, peers.length)];
        if (peer !== undefined && !this.checking.has(peer.id)) {
            void this.check(peer);
        }
    }

    private async check(peer: RouterMember): Promise<void> {
        this.checking.add(peer.id);
        const start = monotonicNow();
        const reached = await this.probe(peer) || await this.probeOtherwise(peer);
        this.checking.delete(peer.id);
        const longest = pausePeriods * this.parts.settings.probeTimeoutMilliseconds;
        if (!reached && monotonicNow() - start < longest) {
            this.parts.view.setState(peer.id, peer.incarnation, RouterState.suspect);
        }
    }

    /** Over a new connection, since the old one may have gone silent, and through others. */
    private async probeOtherwise(peer: RouterMember): Promise<boolean> {
        const { transport, settings, random, peers } = this.parts;
        transport.forget(peer.address);
        const helpers = shuffle(random, peers().filter(member => member.id !== peer.id))
            .slice(0, settings.indirectProbes);
        const attempts = [
            this.probe(peer),
            ...helpers.map(helper =>
                transport.probeIndirectly(helper.address, peer, settings.probeTimeoutMilliseconds)
                    .catch(() => false)
            ),
        ];
        return (await Promise.all(attempts)).some(reached => reached);
    }

    private compare(peer: PeerTarget, digest: number, unknown: boolean): void {
        const { view, settings } = this.parts;
        this.differences = digest === view.table.digest ? 0 : this.differences + 1;
        const now = monotonicNow();
        const due = now - this.lastExchange >= settings.exchangeMilliseconds;
        if (unknown || (this.differences >= differencesBeforeExchange && due)) {
            this.lastExchange = now;
            this.differences = 0;
            void this.parts.exchange(peer.address);
        }
    }
}
