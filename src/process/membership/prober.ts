/**
 * Failure detector: probes the peers in turn. A peer that does not answer is probed again, directly and through other
 * peers, before it is suspected.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RandomSource } from "../../common/random.js";
import { shuffle } from "../../common/random.js";
import { type RouterMember, RouterState } from "../../domain/fleet.js";
import type { FleetView } from "./fleet-view.js";
import type { MembershipSettings } from "./settings.js";
import type { Timers } from "./timers.js";
import type { PeerTarget, PeerTransport } from "./types.js";

/**
 * This router regards itself as paused after this many probe periods without a tick. A check that takes as many probe
 * timeouts is ignored for the same reason.
 */
const pausePeriods = 3;
/** Random variation of the probe period, as a fraction, so that routers do not probe in lockstep. */
const jitterFraction = 0.1;
/** Consecutive replies with a different digest after which this router exchanges full state with a peer. */
const differencesBeforeExchange = 3;

export interface ProberParts {
    readonly view: FleetView;
    readonly transport: PeerTransport;
    readonly settings: MembershipSettings;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly peers: () => readonly RouterMember[];
    readonly exchange: (address: string) => Promise<boolean>;
    /** Called when this router resumes after a pause, such as a suspended VM. */
    readonly onPaused: () => void;
}

export class Prober {
    private cancelTick: () => void = () => undefined;
    private lastTickAt = monotonicNow();
    private lastExchangeAt = Number.NEGATIVE_INFINITY;
    private nextPeerIndex = 0;
    private readonly peersUnderCheck = new Set<string>();
    /** Consecutive replies whose digest differed from this router's. */
    private consecutiveDifferences = 0;

    constructor(private readonly parts: ProberParts) {}

    start(): void {
        this.lastTickAt = monotonicNow();
        this.schedule();
    }

    stop(): void {
        this.cancelTick();
    }

    /** Sends one probe to a peer and applies the reply. Returns whether the peer replied in time. */
    async probe(peer: PeerTarget): Promise<boolean> {
        const { view, transport, settings } = this.parts;
        const message = view.createProbe();
        try {
            const reply = await transport.gossip(peer.address, message, settings.probeTimeoutMilliseconds);
            view.handleReply(message, reply);
            this.exchangeIfDifferent(peer, reply.digest, reply.unknownSender);
            return true;
        }
        catch {
            return false;
        }
    }

    private schedule(): void {
        const { timers, settings, random } = this.parts;
        const jitter = 1 + (random.next() * 2 - 1) * jitterFraction;
        this.cancelTick = timers.after(settings.probePeriodMilliseconds * jitter, () => {
            this.tick();
            this.schedule();
        });
    }

    private tick(): void {
        const now = monotonicNow();
        const wasPaused = now - this.lastTickAt > pausePeriods * this.parts.settings.probePeriodMilliseconds;
        this.lastTickAt = now;
        if (wasPaused) {
            this.parts.onPaused();
        }
        const peers = this.parts.peers();
        const peer = peers[this.nextPeerIndex++ % Math.max(1, peers.length)];
        if (peer !== undefined && !this.peersUnderCheck.has(peer.id)) {
            void this.checkPeer(peer);
        }
    }

    private async checkPeer(peer: RouterMember): Promise<void> {
        this.peersUnderCheck.add(peer.id);
        const start = monotonicNow();
        const reached = await this.probe(peer) || await this.probeByOtherPaths(peer);
        this.peersUnderCheck.delete(peer.id);
        const maximumCheckMilliseconds = pausePeriods * this.parts.settings.probeTimeoutMilliseconds;
        if (!reached && monotonicNow() - start < maximumCheckMilliseconds) {
            this.parts.view.setState(peer.id, peer.incarnation, RouterState.suspect);
        }
    }

    /** Probes over a new connection, since the old one may be dead, and indirectly through other peers. */
    private async probeByOtherPaths(peer: RouterMember): Promise<boolean> {
        const { transport, settings, random, peers } = this.parts;
        transport.closeConnection(peer.address);
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

    private exchangeIfDifferent(peer: PeerTarget, digest: number, senderIsUnknown: boolean): void {
        const { view, settings } = this.parts;
        this.consecutiveDifferences = digest === view.table.digest ? 0 : this.consecutiveDifferences + 1;
        const now = monotonicNow();
        const exchangeDue = now - this.lastExchangeAt >= settings.minimumExchangeIntervalMilliseconds;
        if (senderIsUnknown || (this.consecutiveDifferences >= differencesBeforeExchange && exchangeDue)) {
            this.lastExchangeAt = now;
            this.consecutiveDifferences = 0;
            void this.parts.exchange(peer.address);
        }
    }
}
