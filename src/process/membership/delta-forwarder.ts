/** Forwards new deltas to every peer after a short delay, so that deltas that arrive close together share a message. */
import type { RouterMember } from "../../domain/fleet.js";
import type { FleetView } from "./fleet-view.js";
import type { MembershipSettings } from "./settings.js";
import type { Timers } from "./timers.js";
import type { Delta, PeerTransport } from "./types.js";

export interface DeltaForwarderDependencies {
    readonly view: FleetView;
    readonly transport: PeerTransport;
    readonly settings: MembershipSettings;
    readonly timers: Timers;
    readonly peers: () => readonly RouterMember[];
}

export class DeltaForwarder {
    private cancelFlush: (() => void) | undefined;

    constructor(private readonly dependencies: DeltaForwarderDependencies) {}

    scheduleFlush(): void {
        const { timers, settings } = this.dependencies;
        this.cancelFlush ??= timers.after(settings.forwardDelayMilliseconds, () => void this.flush());
    }

    /** Sends the pending deltas. Resolves when every peer has replied or its call has failed. */
    async flush(): Promise<void> {
        this.stop();
        const { view, peers } = this.dependencies;
        const sends = peers().map(peer => ({ peer, deltas: view.deltaQueue.pendingFor(peer.id) }));
        view.deltaQueue.markForwarded();
        await Promise.all(sends.filter(send => send.deltas.length > 0).map(send => this.send(send.peer, send.deltas)));
    }

    stop(): void {
        this.cancelFlush?.();
        this.cancelFlush = undefined;
    }

    private async send(peer: RouterMember, deltas: readonly Delta[]): Promise<void> {
        const { view, transport, settings } = this.dependencies;
        const message = view.createMessage(deltas);
        try {
            view.handleReply(message, await transport.gossip(peer.address, message, settings.probeTimeoutMilliseconds));
        }
        catch {
            // No retry: later probes carry the same deltas.
        }
    }
}
