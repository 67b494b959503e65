/** Chooses a VM of a plain service by estimated delay: requests in flight and round-trip time of the network link. */
import { type RandomSource, shuffle } from "../../common/random.js";
import type { Location, Topology } from "../../domain/topology.js";
import type { ServiceInstance } from "./types.js";

/** Estimated delay that each request in flight adds, in milliseconds. */
const inFlightCostMilliseconds = 2;

export class InstanceSelector {
    private readonly inFlight = new Map<string, number>();

    constructor(private readonly ownLocation: Location, private readonly random: RandomSource) {}

    /** Returns the VM with the lowest cost that is not excluded, or undefined if there is none. */
    choose(
        instances: readonly ServiceInstance[],
        topology: Topology,
        excluded: ReadonlySet<string>,
    ): ServiceInstance | undefined {
        let best: ServiceInstance | undefined;
        let bestCost = Infinity;
        // A random order breaks ties, so that routers with equal costs do not all choose the same VM.
        for (const instance of shuffle(this.random, instances)) {
            const cost = this.cost(instance, topology);
            if (!excluded.has(instance.id) && cost < bestCost) {
                best = instance;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Counts a request as in flight until the returned function is called; further calls have no effect. */
    beginRequest(instance: ServiceInstance): () => void {
        this.inFlight.set(instance.id, (this.inFlight.get(instance.id) ?? 0) + 1);
        let ended = false;
        return () => {
            if (!ended) {
                ended = true;
                this.decrement(instance.id);
            }
        };
    }

    private decrement(id: string): void {
        const remaining = (this.inFlight.get(id) ?? 1) - 1;
        if (remaining === 0) {
            this.inFlight.delete(id);
        }
        else {
            this.inFlight.set(id, remaining);
        }
    }

    private cost(instance: ServiceInstance, topology: Topology): number {
        const { latencyMilliseconds } = topology.link(this.ownLocation, instance.location);
        return (this.inFlight.get(instance.id) ?? 0) * inFlightCostMilliseconds + 2 * latencyMilliseconds;
    }
}
