/** The memberships of a fleet of routers in one process, on a fake clock. */
import { SilentLogger } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";
import { SeededRandom } from "../../src/common/random.js";
import { RouterState } from "../../src/domain/fleet.js";
import type { VmEntry, VmList } from "../../src/domain/platform.js";
import { Membership, type MembershipSettings, PeerVersions } from "../../src/process/membership/index.js";
import { InProcessPeerNetwork, PausableTimers } from "../../src/stand-ins/peers/index.js";

/** VM list of the platform. A stopped router stays listed until a test removes its entry. */
export class FixedVmList implements VmList {
    readonly entries: VmEntry[] = [];
    failing = false;
    callCount = 0;

    async list(): Promise<readonly VmEntry[]> {
        this.callCount++;
        if (this.failing) {
            throw new TypeError("the stand-in platform is unavailable");
        }
        return this.entries;
    }
}

export interface RouterNode {
    readonly id: string;
    readonly address: string;
    readonly membership: Membership;
    readonly versions: PeerVersions;
    readonly timers: PausableTimers;
}

/** Locations that routers are assigned to in turn: two regions with two availability zones each. */
const locations = [
    { region: "north", availabilityZone: "north-1" },
    { region: "north", availabilityZone: "north-2" },
    { region: "south", availabilityZone: "south-1" },
    { region: "south", availabilityZone: "south-2" },
] as const;

export class RouterFleet {
    readonly vmList = new FixedVmList();
    readonly network: InProcessPeerNetwork;
    readonly nodes: RouterNode[] = [];
    private readonly random: SeededRandom;

    constructor(seed = 1, private readonly settings: Partial<MembershipSettings> = {}) {
        this.random = new SeededRandom(seed);
        this.network = new InProcessPeerNetwork({ latencyMilliseconds: 1, random: new SeededRandom(seed + 1) });
    }

    create(
        id: string,
        locationIndex = this.nodes.length % locations.length,
        seeds: readonly string[] = [],
    ): RouterNode {
        const address = `in-process:${id}`;
        const location = locations[locationIndex]!;
        const timers = new PausableTimers();
        const transport = this.network.transport(address, timers);
        const membership = new Membership(
            { id, address, location, seeds, settings: this.settings },
            {
                transport,
                vmList: this.vmList,
                random: new SeededRandom(Math.floor(this.random.next() * 2 ** 32)),
                logger: new SilentLogger(),
                metrics: new SilentMetrics(),
                timers,
            },
        );
        const node = { id, address, membership, versions: new PeerVersions(membership, transport), timers };
        this.network.add(address, membership, timers);
        const existingIndex = this.vmList.entries.findIndex(entry => entry.id === id);
        if (existingIndex === -1) {
            this.vmList.entries.push({
                id,
                kind: "router",
                address,
                className: "",
                state: "live",
                incarnation: 1,
                ...location,
            });
        }
        this.nodes.push(node);
        return node;
    }

    /** Adds and starts routers; returns before their memberships have converged. */
    async start(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            void this.create(`router-${this.nodes.length}`).membership.start();
        }
    }

    /** Stops a router without notifying the others, as a crash does. */
    kill(node: RouterNode): void {
        node.membership.stopWithoutLeaving();
        this.network.remove(node.address);
        this.nodes.splice(this.nodes.indexOf(node), 1);
    }

    /** Partitions the network in two, by a predicate on the routers' addresses. */
    partition(side: (address: string) => boolean): void {
        this.network.isReachable = (from, to) => side(from) === side(to);
    }

    heal(): void {
        this.network.isReachable = () => true;
    }

    stop(): void {
        this.nodes.forEach(node => node.membership.stopWithoutLeaving());
    }

    /** Whether the members that each router considers alive are exactly the given routers. */
    membershipConverged(nodes: readonly RouterNode[] = this.nodes): boolean {
        const expected = nodes.map(node => node.id).sort().join();
        return nodes.every(node => aliveIds(node).join() === expected);
    }
}

export function aliveIds(node: RouterNode): string[] {
    return node.membership.members().filter(member => member.state === RouterState.alive).map(member => member.id)
        .sort();
}

export function stateOf(node: RouterNode, id: string) {
    return node.membership.members().find(member => member.id === id)?.state;
}
