import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import { Broadcast, createStream } from "../../../src/common/streams.js";
import type { BackendServerConnection } from "../../../src/domain/backend-connection.js";
import type { BackendServerEvent, HoldingsReport } from "../../../src/domain/engine-protocol.js";
import type { BackendServerNotice, Fleet, RouterMember } from "../../../src/domain/fleet.js";
import { PipelinePlan } from "../../../src/domain/pipeline-plan.js";
import type { VmEntry } from "../../../src/domain/platform.js";
import { ConnectionFailedError, PlatformUnavailableError } from "../../../src/errors/index.js";
import { BackendServerRegistry } from "../../../src/process/backend-servers/backend-server-registry.js";
import { ExactInFlightCounter } from "../../../src/process/backend-servers/exact-in-flight-ledger.js";
import { pollIntervalMilliseconds } from "../../../src/process/backend-servers/vm-list-poller.js";
import { configuration } from "../../support/backend-servers.js";
import { fixedTopology, location, model } from "../../support/pipelines.js";

const layers = { first: 0, last: 7 };
const holdings = [{ model: "model", modelVersion: "1", layers, adapters: [] }];
const load = { runningAttempts: 1, queuedAttempts: 0, pendingTokens: 10, stepMilliseconds: 5, freeCacheBytes: 1 };

/** A backend server's link whose events the test publishes. */
class FakeConnection implements BackendServerConnection {
    readonly broadcast = new Broadcast<BackendServerEvent>();
    observers = 0;
    reachable = true;

    constructor(readonly backendServer: string) {}

    readonly events = createStream<BackendServerEvent>(emitter => {
        this.observers++;
        const subscription = this.broadcast.stream.subscribe({
            next: event => emitter.next(event),
            error: () => undefined,
            complete: () => emitter.complete(),
        });
        return () => {
            this.observers--;
            subscription.unsubscribe();
        };
    });

    async readHoldings(): Promise<HoldingsReport> {
        if (!this.reachable) {
            throw new ConnectionFailedError(this.backendServer, "refused", false);
        }
        return { holdings, role: "mixed", draining: false, fencingNumber: 0, completedOrders: [] };
    }

    startAttempt = jest.fn<BackendServerConnection["startAttempt"]>();
    sendOrder = jest.fn<BackendServerConnection["sendOrder"]>();
    close(): void {}
}

class FakeFleet implements Fleet {
    readonly self: RouterMember = {
        id: "router",
        address: "http://127.0.0.1:1",
        location: location("a"),
        incarnation: 1,
        state: "alive",
        configurationVersion: 1,
    };
    readonly published: BackendServerNotice[] = [];
    private readonly listeners = new Set<(notice: BackendServerNotice) => void>();

    members(): readonly RouterMember[] {
        return [this.self];
    }

    publishNotice(notice: BackendServerNotice): void {
        this.published.push(notice);
    }

    onNotice(listener: (notice: BackendServerNotice) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    deliver(notice: BackendServerNotice): void {
        this.listeners.forEach(listener => listener(notice));
    }

    reportDemand(): void {}
    fleetDemand(): number {
        return 0;
    }
}

function entry(id: string, changes: Partial<VmEntry> = {}): VmEntry {
    return {
        id,
        kind: "backend-server",
        address: `http://127.0.0.1/${id}`,
        ...location("a"),
        className: "class",
        state: "live",
        incarnation: 1,
        ...changes,
    };
}

describe("BackendServerRegistry", () => {
    let entries: VmEntry[];
    let listFails: boolean;
    let fleet: FakeFleet;
    let connections: Map<string, FakeConnection>;
    let registry: BackendServerRegistry;

    const connection = (id: string) => {
        const known = connections.get(id) ?? new FakeConnection(id);
        connections.set(id, known);
        return known;
    };
    const names = () => registry.candidates().map(({ id }) => id).sort();
    /** Passes time in which the given servers send heartbeats. */
    const pass = async (milliseconds: number, ...alive: string[]) => {
        for (let passed = 0; passed < milliseconds; passed += 250) {
            alive.forEach(id => connection(id).broadcast.publish({ type: "heartbeat" }));
            await jest.advanceTimersByTimeAsync(250);
        }
    };

    beforeEach(async () => {
        entries = [entry("s0"), entry("s1"), entry("router-vm", { kind: "router" })];
        listFails = false;
        fleet = new FakeFleet();
        connections = new Map();
        const current = configuration([model(8)], fixedTopology({}, { latencyMilliseconds: 1, bytesPerSecond: 1e9 }));
        registry = new BackendServerRegistry({
            vmList: {
                list: async () => {
                    if (listFails) {
                        throw new PlatformUnavailableError("down", false);
                    }
                    return entries;
                },
            },
            connections: { get: connection },
            fleet,
            configuration: { current, onChange: () => () => undefined },
            logger: new SilentLogger(),
            metrics: new SilentMetrics(),
            random: new SeededRandom(1),
        });
        await registry.start();
        await pass(1_000, "s0", "s1");
    });

    afterEach(() => registry.stop());

    test("links to the listed backend servers and knows what they hold", () => {
        expect(names()).toEqual(["s0", "s1"]);
        expect(registry.get("s0")!.holdings).toEqual(holdings);
        expect(connection("s0").observers).toBe(1);
    });

    test.each([
        ["a draining event", () => connection("s0").broadcast.publish({ type: "draining" })],
        ["a refusal", () => registry.reportDraining("s0")],
        ["a peer's notice", () => fleet.deliver({ backendServer: "s0", incarnation: 1, signal: "leaving" })],
    ])("gives no new work from %s on, whatever the list says, until a new incarnation", async (_name, signal) => {
        signal();
        expect(names()).toEqual(["s1"]);
        expect(registry.state("s0")).toBe("leaving");
        await pass(20_000, "s0", "s1");
        expect(names()).toEqual(["s1"]);
        entries = [entry("s0", { incarnation: 2 }), entry("s1")];
        await pass(3_000, "s0", "s1");
        expect(names()).toEqual(["s0", "s1"]);
    });

    test("sees within 3 s that the list shows a server as leaving, and tells peers once", async () => {
        entries = [entry("s0", { state: "leaving" }), entry("s1")];
        await pass(3_000, "s0", "s1");
        expect(names()).toEqual(["s1"]);
        entries = [entry("s0"), entry("s1")];
        connection("s0").broadcast.publish({ type: "draining" });
        await pass(5_000, "s0", "s1");
        expect(names()).toEqual(["s1"]);
        expect(fleet.published).toEqual([{ backendServer: "s0", incarnation: 1, signal: "leaving" }]);
    });

    test("a list that lost a leaving server for a while does not bring it back", async () => {
        registry.reportDraining("s0");
        entries = [entry("s1")];
        await pass(10_000, "s1");
        expect(registry.get("s0")).toBeUndefined();
        entries = [entry("s0"), entry("s1")];
        await pass(3_000, "s0", "s1");
        expect(names()).toEqual(["s1"]);
    });

    test("a notice of an older incarnation changes nothing; one that precedes the list counts later", async () => {
        fleet.deliver({ backendServer: "s0", incarnation: 0, signal: "leaving" });
        expect(names()).toEqual(["s0", "s1"]);
        fleet.deliver({ backendServer: "s2", incarnation: 4, signal: "leaving" });
        entries = [entry("s0"), entry("s1"), entry("s2", { incarnation: 4 })];
        await pass(4_000, "s0", "s1", "s2");
        expect(names()).toEqual(["s0", "s1"]);
    });

    test("leaves a silent server out, and takes it again when it speaks", async () => {
        connection("s0").reachable = false;
        await pass(3_000, "s1");
        expect(registry.state("s0")).toBe("unreachable");
        expect(names()).toEqual(["s1"]);
        expect(fleet.published).toEqual([{ backendServer: "s0", incarnation: 1, signal: "failed" }]);
        connection("s0").reachable = true;
        await pass(1_500, "s0", "s1");
        expect(names()).toEqual(["s0", "s1"]);
    });

    test("does not believe a peer that calls a server failed which this router hears", async () => {
        fleet.deliver({ backendServer: "s0", incarnation: 1, signal: "failed" });
        expect(names()).toEqual(["s0", "s1"]);
    });

    test("goes on with what it knows while the list cannot be read", async () => {
        listFails = true;
        await pass(60_000, "s0", "s1");
        expect(names()).toEqual(["s0", "s1"]);
    });

    test("counts its own work exactly, also when an end is told twice", () => {
        const record = registry.get("s0")!;
        const ledger = new ExactInFlightCounter(id => registry.get(id));
        const plan = new PipelinePlan("plan", "model", 8, [{ backendServer: "s0", address: "", layers }]);
        const end = ledger.begin(plan, 100);
        ledger.begin(plan, 50);
        connection("s0").broadcast.publish({ type: "load", load });
        expect([record.ownAttempts, record.ownTokens, record.load!.ownAttempts]).toEqual([2, 150, 2]);
        end();
        end();
        expect([record.ownAttempts, record.ownTokens]).toEqual([1, 50]);
    });
});

test("routers read a long list seldom, but together at least about once a second", () => {
    expect(pollIntervalMilliseconds(40, 1)).toBe(1_000);
    expect(pollIntervalMilliseconds(320, 13)).toBe(13_000);
    expect(pollIntervalMilliseconds(600, 360)).toBe(72_000);
});
