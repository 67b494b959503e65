/** A stage network in which all traffic between two availability zones shares one link, which can become saturated. */
import { monotonicNow } from "../../src/common/clock.js";
import type { Location, Topology } from "../../src/domain/topology.js";
import type {
    StageEndpoint,
    StageMessage,
    StageNetwork,
    StageReply,
    StageRequest,
} from "../../src/stand-ins/backend-server/index.js";

export class SharedLinkNetwork implements StageNetwork {
    /** Time at which each link will have sent its queued messages, by sending and receiving availability zone. */
    private readonly linkFreeAt = new Map<string, number>();
    private readonly locations = new Map<string, Location>();

    /** `inner` adds the latency and transfer time of each message; this class adds the time in the queue. */
    constructor(private readonly inner: StageNetwork, private readonly topology: Topology) {}

    add(endpoint: StageEndpoint): void {
        this.locations.set(endpoint.address, endpoint.location);
    }

    send(from: StageEndpoint, address: string, message: StageMessage, failed: () => void): void {
        const to = this.locations.get(address);
        const bytes = message.kind === "activations" ? message.bytes : 0;
        const wait = to === undefined ? 0 : this.queueMilliseconds(from.location, to, bytes);
        if (wait === 0) {
            this.inner.send(from, address, message, failed);
            return;
        }
        setTimeout(() => this.inner.send(from, address, message, failed), wait);
    }

    request(from: StageEndpoint, address: string, request: StageRequest): Promise<StageReply> {
        return this.inner.request(from, address, request);
    }

    /**
     * Queues the bytes on the link and returns the milliseconds until the link has sent everything queued before them.
     */
    private queueMilliseconds(from: Location, to: Location, bytes: number): number {
        if (from.availabilityZone === to.availabilityZone || bytes === 0) {
            return 0;
        }
        const key = `${from.availabilityZone}>${to.availabilityZone}`;
        const now = monotonicNow();
        const start = Math.max(now, this.linkFreeAt.get(key) ?? now);
        this.linkFreeAt.set(key, start + (bytes * 1000) / this.topology.link(from, to).bytesPerSecond);
        return start - now;
    }
}
