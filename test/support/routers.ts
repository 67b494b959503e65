/** Fleets of routers' memberships in one process, on the paused clock. */
import { SilentLogger } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";
import { SeededRandom } from "../../src/common/random.js";
import { RouterState } from "../../src/domain/fleet.js";
import type { VmEntry, VmList } from "../../src/domain/platform.js";
import { Membership, type MembershipSettings, PeerVersions } from "../../src/process/membership/index.js";
import { InProcessPeerNetwork, PausableTimers } from "../../src/stand-ins/peers/index.js";

/** The platform's list: routers stay listed after they are gone, until it is told. */
export class FixedVmList implements VmList {
    readonly entries: VmEntry[] = [];
    failing = false;
    callCount = 0;

    async list(): Promise<readonly VmEntry[]> {
        this.callCount++;
        if (this.failing) {
            throw new TypeError("the platform is down");
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

/** Zones in the order in which routers are placed: two regions with two each. */
const zones = [
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

    create(id: string, zone = this.nodes.length % zones.length, seeds: readonly string[] = []): RouterNode {
        const address = `in-process:${id}`;
        const location = zones[zone]!;
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
        const known = this.vmList.entries.findIndex(entry => entry.id === id);
        if (known === -1) {
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

    /** Adds and starts routers; they have not all met when this returns. */
    async start(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            void this.create(`router-${this.nodes.length}`).membership.start();
        }
    }

    /** The router is gone without a word. */
    kill(node: RouterNode): void {
        node.membership.halt();
        this.network.remove(node.address);
        this.nodes.splice(this.nodes.indexOf(node), 1);
    }

    /** Splits the fleet in two by a test of the address. */
    partition(side: (address: string) => boolean): void {
        this.network.connected = (from, to) => side(from) === side(to);
    }

    heal(): void {
        this.network.connected = () => true;
    }

    stop(): void {
        this.nodes.forEach(node => node.membership.halt());
    }

    /** Whether every router sees exactly the routers that run as alive. */
    agrees(nodes: readonly RouterNode[] = this.nodes): boolean {
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
