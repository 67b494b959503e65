/** Passes news on to every peer at once, those that arrive close together in one message. */
import type { RouterMember } from "../../domain/fleet.js";
import type { FleetView } from "./fleet-view.js";
import type { MembershipSettings } from "./settings.js";
import type { Timers } from "./timers.js";
import type { Delta, PeerTransport } from "./types.js";

export interface ForwarderParts {
    readonly view: FleetView;
    readonly transport: PeerTransport;
    readonly settings: MembershipSettings;
    readonly timers: Timers;
    readonly peers: () => readonly RouterMember[];
}

export class Forwarder {
    private cancelFlush: (() => void) | undefined;

    constructor(private readonly parts: ForwarderParts) {}

    schedule(): void {
        const { timers, settings } = this.parts;
        this.cancelFlush ??= timers.after(settings.forwardDelayMilliseconds, () => void this.flush());
    }

    /** Sends what is fresh. Resolves when every peer has answered or failed to. */
    async flush(): Promise<void> {
        this.stop();
        const { view, peers } = this.parts;
        const sends = peers().map(peer => ({ peer, deltas: view.news.freshFor(peer.id) }));
        view.news.forwarded();
        await Promise.all(sends.filter(send => send.deltas.length > 0).map(send => this.send(send.peer, send.deltas)));
    }

    stop(): void {
        this.cancelFlush?.();
        this.cancelFlush = undefined;
    }

    private async send(peer: RouterMember, deltas: readonly Delta[]): Promise<void> {
        const { view, transport, settings } = this.parts;
        const message = view.createMessage(deltas);
        try {
            view.settle(message, await transport.gossip(peer.address, message, settings.probeTimeoutMilliseconds));
        }
        catch {
            // The news goes with later probes as well.
        }
    }
}
