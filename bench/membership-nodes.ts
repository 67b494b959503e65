/**
 * Nodes for the membership benchmark, each the membership component of one router: over loopback connections, and in
 * process on a fake clock.
 */
import type { Socket } from "node:net";
import type { TLSSocket } from "node:tls";
import { SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { randomInteger, SeededRandom } from "../src/common/random.js";
import { type CertificateSource, PeerClient, PeerServer } from "../src/connection/router/index.js";
import { RouterState } from "../src/domain/fleet.js";
import type { VmEntry, VmList } from "../src/domain/platform.js";
import { Membership, PeerVersions } from "../src/process/membership/index.js";
import { InProcessPeerNetwork, PausableTimers } from "../src/stand-ins/peers/index.js";

const customerCount = 310;
/** Share of customers that send requests to a given router in one reporting period. */
const activeShare = 0.2;
const maximumDemandTokensPerSecond = 400;
/** Time between two joins on the fake clock. */
const joinIntervalMilliseconds = 2;

export const locations = [
    { region: "north", availabilityZone: "north-1" },
    { region: "north", availabilityZone: "north-2" },
    { region: "south", availabilityZone: "south-1" },
    { region: "south", availabilityZone: "south-2" },
] as const;

/** The platform's list of VMs, here only routers; counts the calls to `list`. */
export class CountingVmList implements VmList {
    readonly entries: VmEntry[] = [];
    callCount = 0;

    async list(): Promise<readonly VmEntry[]> {
        this.callCount++;
        return this.entries;
    }

    add(id: string, address: string, index: number): void {
        const location = locations[index % locations.length]!;
        this.entries.push({ id, kind: "router", address, className: "", state: "live", incarnation: 1, ...location });
    }
}

/** Reports a random demand (tokens per second) for every customer; most customers have no demand at a given router. */
export function reportDemand(membership: Membership, random: SeededRandom): void {
    for (let customer = 0; customer < customerCount; customer++) {
        const demand = random.next() < activeShare ? randomInteger(random, maximumDemandTokensPerSecond) : 0;
        membership.reportDemand(`customer-${customer}`, demand);
    }
}

export function aliveCount(membership: Membership): number {
    return membership.members().filter(member => member.state === RouterState.alive).length;
}

/**
 * Byte counters of a socket's native handle; for TLS, those of the underlying TCP handle (`_parent`), with TLS framing.
 */
interface ByteCounter {
    readonly bytesRead: number;
    readonly bytesWritten: number;
    readonly _parent?: ByteCounter;
}

/** A membership with its own peer server and client on loopback. */
export class ConnectedNode {
    readonly membership: Membership;
    readonly versions: PeerVersions;
    private readonly counters: ByteCounter[] = [];

    private constructor(
        private readonly id: string,
        private readonly index: number,
        private readonly server: PeerServer,
        private readonly client: PeerClient,
        private readonly vmList: CountingVmList,
    ) {
        this.membership = new Membership(
            { id, address: server.address, location: locations[index % locations.length]!, seeds: [] },
            {
                transport: client,
                vmList,
                random: new SeededRandom(index + 1),
                logger: new SilentLogger(),
                metrics: new SilentMetrics(),
            },
        );
        this.versions = new PeerVersions(this.membership, client);
        server.setPeerHandler(this.membership);
    }

    static async create(index: number, vmList: CountingVmList, certificates?: CertificateSource) {
        const server = new PeerServer({ host: "127.0.0.1", port: 0, certificates });
        const client = new PeerClient(certificates);
        await server.start();
        await client.start();
        const id = `router-${index}`;
        const node = new ConnectedNode(id, index, server, client, vmList);
        node.countBytes(certificates !== undefined);
        return node;
    }

    /** Joins the fleet, then adds this router to the platform's list of VMs. */
    async start(): Promise<void> {
        await this.membership.start();
        this.vmList.add(this.id, this.server.address, this.index);
    }

    /** Bytes read and written by all connections of this node's server. */
    get serverBytes(): number {
        return this.counters.reduce((total, counter) => total + counter.bytesRead + counter.bytesWritten, 0);
    }

    async kill(): Promise<void> {
        this.membership.stopWithoutLeaving();
        await this.client.stop();
        await this.server.stop();
    }

    private countBytes(tls: boolean): void {
        const inner = (this.server as unknown as { readonly server: NodeJS.EventEmitter; }).server;
        inner.on(tls ? "secureConnection" : "connection", (socket: Socket | TLSSocket) => {
            const handle = (socket as unknown as { readonly _handle: ByteCounter; })._handle;
            this.counters.push(handle._parent ?? handle);
        });
    }
}

/** An in-process fleet on a fake clock. */
export class SimulatedFleet {
    readonly vmList = new CountingVmList();
    readonly nodes: { readonly address: string; readonly membership: Membership; }[] = [];
    private readonly network = new InProcessPeerNetwork({ latencyMilliseconds: 1, random: new SeededRandom(1) });

    constructor(count: number) {
        for (let index = 0; index < count; index++) {
            this.add(index);
        }
    }

    /** Joins the routers one after the other; `advance` advances the fake clock. */
    async start(advance: (milliseconds: number) => Promise<unknown>): Promise<void> {
        for (const [index, node] of this.nodes.entries()) {
            void node.membership.start();
            await advance(joinIntervalMilliseconds);
            this.vmList.add(node.membership.self.id, node.address, index);
        }
    }

    /** Stops a router without notifying its peers; its address no longer answers. */
    kill(index: number): void {
        const [node] = this.nodes.splice(index, 1);
        node!.membership.stopWithoutLeaving();
        this.network.remove(node!.address);
        this.vmList.entries.splice(this.vmList.entries.findIndex(entry => entry.address === node!.address), 1);
    }

    /** Whether the number of routers that each router counts as alive equals the number of running routers. */
    get hasConverged(): boolean {
        return this.nodes.every(node => aliveCount(node.membership) === this.nodes.length);
    }

    stop(): void {
        this.nodes.forEach(node => node.membership.stopWithoutLeaving());
    }

    private add(index: number): void {
        const id = `router-${index}`;
        const address = `in-process:${id}`;
        const timers = new PausableTimers();
        const membership = new Membership(
            { id, address, location: locations[index % locations.length]!, seeds: [] },
            {
                transport: this.network.transport(address, timers),
                vmList: this.vmList,
                random: new SeededRandom(index + 1),
                logger: new SilentLogger(),
                metrics: new SilentMetrics(),
                timers,
            },
        );
        this.network.add(address, membership, timers);
        this.nodes.push({ address, membership });
    }
}
