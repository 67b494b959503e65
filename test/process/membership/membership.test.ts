import { afterEach, describe, expect, jest, test } from "@jest/globals";
import fc from "fast-check";
import { type BackendServerNotice, RouterState } from "../../../src/domain/fleet.js";
import { choosePeers } from "../../../src/process/membership/peer-graph.js";
import { RouterFleet, type RouterNode, stateOf } from "../../support/routers.js";

let fleet = new RouterFleet();
afterEach(() => fleet.stop());

const maximumWaitMilliseconds = 60_000;

/** Advances the fake clock until the condition holds. Returns by how many milliseconds the clock advanced. */
async function advanceUntil(condition: () => boolean, stepMilliseconds = 50): Promise<number> {
    let elapsedMilliseconds = 0;
    while (!condition()) {
        if (elapsedMilliseconds > maximumWaitMilliseconds) {
            throw new RangeError("the condition did not hold within 60 s");
        }
        await jest.advanceTimersByTimeAsync(stepMilliseconds);
        elapsedMilliseconds += stepMilliseconds;
    }
    return elapsedMilliseconds;
}

async function startFleet(count: number, seed = 1): Promise<readonly RouterNode[]> {
    fleet = new RouterFleet(seed);
    await fleet.start(count);
    await advanceUntil(() => fleet.membershipConverged());
    return [...fleet.nodes];
}

describe("membership", () => {
    test("routers that start together and one that joins later agree on the members", async () => {
        await startFleet(15);
        await fleet.start(1);
        expect(await advanceUntil(() => fleet.membershipConverged())).toBeLessThan(3_000);
    });

    test("a router that starts while the platform is down joins through the seeds in its settings", async () => {
        const [first] = await startFleet(3);
        fleet.vmList.failing = true;
        const lateRouter = fleet.create("late", 0, [first!.address]);
        void lateRouter.membership.start();
        expect(await advanceUntil(() => fleet.membershipConverged())).toBeLessThan(3_000);
    });

    test("every survivor learns of a router's death within 8 s and suspects no other router", async () => {
        const nodes = await startFleet(30);
        const victim = nodes[7]!;
        const changes: string[] = [];
        nodes.filter(node => node !== victim).forEach(node =>
            node.membership.onMemberChange(member => changes.push(member.id))
        );
        fleet.kill(victim);
        expect(await advanceUntil(() => fleet.membershipConverged())).toBeLessThan(8_000);
        expect(new Set(changes)).toEqual(new Set([victim.id]));
    });

    test("a suspected router refutes the suspicion with a higher incarnation", async () => {
        const nodes = await startFleet(8);
        const [accuser, accused] = nodes as [RouterNode, RouterNode];
        accuser.membership.view.setState(accused.id, accused.membership.self.incarnation, RouterState.suspect);
        expect(stateOf(accuser, accused.id)).toBe(RouterState.suspect);
        await advanceUntil(() => accused.membership.self.incarnation === 2 && fleet.membershipConverged());
        await jest.advanceTimersByTimeAsync(10_000);
        expect(fleet.membershipConverged()).toBe(true);
    });

    test("a delta of an old incarnation has no effect", async () => {
        const nodes = await startFleet(4);
        const [node, other] = nodes as [RouterNode, RouterNode];
        other.membership.view.raiseIncarnation();
        await advanceUntil(() => node.membership.view.table.get(other.id)!.incarnation === 2);
        const old = { ...other.membership.self, incarnation: 1, state: RouterState.dead };
        node.membership.view.apply({ kind: "member", member: old }, undefined);
        expect(stateOf(node, other.id)).toBe(RouterState.alive);
    });

    test("a router paused for longer than every timeout declares no other router dead and rejoins", async () => {
        const nodes = await startFleet(12);
        const paused = nodes[3]!;
        const changes: string[] = [];
        paused.membership.onMemberChange(member => changes.push(`${member.id} ${member.state}`));
        paused.timers.pause();
        await advanceUntil(() => nodes.every(node => node === paused || stateOf(node, paused.id) === RouterState.dead));
        await jest.advanceTimersByTimeAsync(20_000);
        paused.timers.resume();
        expect(await advanceUntil(() => fleet.membershipConverged())).toBeLessThan(3_000);
        expect(paused.membership.self.incarnation).toBeGreaterThan(1);
        expect(changes.filter(change => change.endsWith("dead"))).toEqual([]);
    });

    test("partitioned regions merge after the partition without declaring a live router dead", async () => {
        const nodes = await startFleet(16);
        const isNorth = (node: RouterNode) => node.membership.self.location.region === "north";
        const north = nodes.filter(isNorth);
        const south = nodes.filter(node => !isNorth(node));
        const northAddresses = new Set(north.map(node => node.address));
        fleet.partition(address => northAddresses.has(address));
        await advanceUntil(() => fleet.membershipConverged(north) && fleet.membershipConverged(south));
        await jest.advanceTimersByTimeAsync(120_000);
        const deaths: string[] = [];
        nodes.forEach(node =>
            node.membership.onMemberChange(member => member.state === RouterState.dead && deaths.push(member.id))
        );
        fleet.heal();
        expect(await advanceUntil(() => fleet.membershipConverged())).toBeLessThan(15_000);
        await jest.advanceTimersByTimeAsync(10_000);
        expect(fleet.membershipConverged()).toBe(true);
        expect(deaths).toEqual([]);
    });

    test("a departure is known within 1 s, and the router rejoins under its ID with a higher incarnation", async () => {
        const nodes = await startFleet(10);
        const leaver = nodes[4]!;
        void leaver.membership.stop();
        const remaining = nodes.filter(node => node !== leaver);
        const allSeeDeparture = () => remaining.every(node => stateOf(node, leaver.id) === RouterState.left);
        expect(await advanceUntil(allSeeDeparture)).toBeLessThan(1_000);
        fleet.kill(leaver);
        void fleet.create(leaver.id, 0).membership.start();
        await advanceUntil(() => fleet.membershipConverged());
        expect(fleet.nodes.at(-1)!.membership.self.incarnation).toBeGreaterThan(1);
    });

    test("the loss of a whole availability zone is detected", async () => {
        const nodes = await startFleet(40);
        nodes.filter(node => node.membership.self.location.availabilityZone === "south-2")
            .forEach(node => fleet.kill(node));
        expect(await advanceUntil(() => fleet.membershipConverged())).toBeLessThan(30_000);
    });

    test("a notice reaches each router once, also later joiners; a lower incarnation is ignored", async () => {
        const nodes = await startFleet(12);
        const received: (BackendServerNotice & { readonly by: string; })[] = [];
        const recordNotices = (node: RouterNode) =>
            node.membership.onNotice(notice => received.push({ ...notice, by: node.id }));
        nodes.forEach(recordNotices);
        const notice = { backendServer: "b1", incarnation: 2, signal: "leaving" } as const;
        nodes[0]!.membership.publishNotice(notice);
        nodes[5]!.membership.publishNotice(notice);
        expect(await advanceUntil(() => received.length >= 12, 10)).toBeLessThan(1_000);
        nodes[3]!.membership.publishNotice({ ...notice, incarnation: 1 });
        const lateRouter = fleet.create("late");
        recordNotices(lateRouter);
        void lateRouter.membership.start();
        await jest.advanceTimersByTimeAsync(10_000);
        expect(received.map(entry => entry.by).sort()).toEqual(fleet.nodes.map(node => node.id).sort());
        expect(received.every(entry => entry.incarnation === 2)).toBe(true);
        nodes[1]!.membership.publishNotice({ ...notice, incarnation: 3 });
        await advanceUntil(() => received.length === 26);
    });

    test("configuration versions are announced, queried, read and confirmed", async () => {
        const nodes = await startFleet(12);
        const record = { version: 7, pushId: "p", parent: 6, author: "a", acceptedAt: "now" };
        const stored = { record, compressedSheet: new Uint8Array([1, 2]) };
        nodes[2]!.membership.provideVersions({
            highestVersion: 7,
            readStored: minimum => minimum <= 7 ? stored : undefined,
        });
        const informedRouters = new Set<string>();
        nodes.forEach(node =>
            node.versions.onAnnouncement(entry => entry.version === 7 && informedRouters.add(node.id))
        );
        nodes[2]!.versions.announce(7);
        expect(await advanceUntil(() => informedRouters.size >= 11, 10)).toBeLessThan(1_000);
        const reader = nodes[9]!.versions;
        expect(reader.highestAnnounced()).toEqual({ routerId: nodes[2]!.id, version: 7 });
        const read = reader.readVersion(nodes[2]!.id, 7, 500);
        const missing = reader.readVersion(nodes[2]!.id, 8, 500);
        const queried = nodes[2]!.versions.queryPeerVersions(500);
        fleet.network.remove(nodes[11]!.address);
        const confirmed = reader.read(500);
        await jest.advanceTimersByTimeAsync(1_000);
        expect(await read).toEqual(stored);
        expect(await missing).toBeUndefined();
        expect((await queried).length).toBeGreaterThan(0);
        const versions = Object.fromEntries((await confirmed).map(entry => [entry.routerId, entry.version]));
        expect(versions).toMatchObject({ "router-2": 7, "router-11": 0 });
        expect(Object.keys(versions)).toHaveLength(12);
    });

    test("each router is probed by at least four others, and the peer graph is connected within few hops", () => {
        const members = Array.from({ length: 360 }, (_unused, index) => ({
            id: `router-${index}`,
            address: "",
            location: { region: `r${index % 2}`, availabilityZone: `z${index % 4}` },
            incarnation: 1,
            state: RouterState.alive,
            configurationVersion: 0,
        }));
        const peers = new Map(members.map(member => [member.id, choosePeers(member, members)]));
        const probedBy = new Map<string, number>();
        [...peers.values()].flat().forEach(peer => probedBy.set(peer.id, (probedBy.get(peer.id) ?? 0) + 1));
        expect(Math.min(...members.map(member => probedBy.get(member.id) ?? 0))).toBeGreaterThanOrEqual(4);
        expect(Math.max(...[...peers.values()].map(chosen => chosen.length))).toBeLessThanOrEqual(6);
        const reached = new Set(["router-0"]);
        let steps = 0;
        while (reached.size < members.length && steps < 20) {
            [...reached].forEach(id => peers.get(id)!.forEach(peer => reached.add(peer.id)));
            steps++;
        }
        expect(steps).toBeLessThan(9);
    });

    test("after message loss, pauses, deaths and partitions, survivors agree on live routers and notices", async () => {
        const faultAction = fc.record({
            kind: fc.constantFrom("pause", "kill", "cut", "lose", "notice"),
            node: fc.nat({ max: 6 }),
            milliseconds: fc.integer({ min: 100, max: 12_000 }),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(faultAction, { minLength: 1, maxLength: 6 }), async actions => {
                const nodes = await startFleet(7, 5);
                for (const { kind, node, milliseconds } of actions) {
                    const target = nodes[node]!;
                    const isRunning = fleet.nodes.includes(target);
                    if (kind === "pause") {
                        target.timers.pause();
                    }
                    else if (kind === "kill" && isRunning && fleet.nodes.length > 3) {
                        target.timers.resume();
                        fleet.kill(target);
                    }
                    else if (kind === "cut") {
                        fleet.partition(address => address < target.address);
                    }
                    else if (kind === "lose") {
                        fleet.network.lossShare = 0.3;
                    }
                    else if (kind === "notice") {
                        target.membership.publishNotice({ backendServer: "b", incarnation: node, signal: "failed" });
                    }
                    await jest.advanceTimersByTimeAsync(milliseconds);
                    if (kind === "pause") {
                        target.timers.resume();
                    }
                }
                fleet.network.lossShare = 0;
                fleet.heal();
                await advanceUntil(() => fleet.membershipConverged());
                const notices = () =>
                    new Set(fleet.nodes.map(node => JSON.stringify(node.membership.view.fullState().notices)));
                await advanceUntil(() => notices().size === 1);
                fleet.stop();
            }),
            { numRuns: 25, seed: 20_261 },
        );
    });
});
