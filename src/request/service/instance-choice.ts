/** Chooses a VM of a plain service by expected cost: requests in flight, and the link to where it stands. */
import { type RandomSource, shuffle } from "../../common/random.js";
import type { Location, Topology } from "../../domain/topology.js";
import type { ServiceInstance } from "./types.js";

/** What one more request in flight is taken to cost, in milliseconds. */
const requestCostMilliseconds = 2;

export class InstanceChoice {
    private readonly inFlight = new Map<string, number>();

    constructor(private readonly own: Location, private readonly random: RandomSource) {}

    /** The cheapest VM that was not tried yet. */
    choose(
        instances: readonly ServiceInstance[],
        topology: Topology,
        excluded: ReadonlySet<string>,
    ): ServiceInstance | undefined {
        let best: ServiceInstance | undefined;
        let bestCost = Infinity;
        // Random order spreads ties, so that many routers do not all pick the first.
        for (const instance of shuffle(this.random, instances)) {
            const cost = this.cost(instance, topology);
            if (!excluded.has(instance.id) && cost < bestCost) {
                best = instance;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Counts a request until the result is called. */
    begin(instance: ServiceInstance): () => void {
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
        const left = (this.inFlight.get(id) ?? 1) - 1;
        if (left === 0) {
            this.inFlight.delete(id);
        }
        else {
            this.inFlight.set(id, left);
        }
    }

    private cost(instance: ServiceInstance, topology: Topology): number {
        const { latencyMilliseconds } = topology.link(this.own, instance.location);
        return (this.inFlight.get(instance.id) ?? 0) * requestCostMilliseconds + 2 * latencyMilliseconds;
    }
}
