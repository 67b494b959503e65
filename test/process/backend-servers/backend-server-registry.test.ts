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
import { ExactInFlightCounter } from "../../../src/process/backend-servers/exact-in-flight-counter.js";
import { pollIntervalMilliseconds } from "../../../src/process/backend-servers/vm-list-poller.js";
import { createConfiguration } from "../../support/backend-servers.js";
import { createLocation, createModel, fixedTopology } from "../../support/pipelines.js";

const layers = { first: 0, last: 7 };
const holdings = [{ model: "model", modelVersion: "1", layers, adapters: [] }];
const load = { runningAttempts: 1, queuedAttempts: 0, pendingTokens: 10, stepMilliseconds: 5, freeCacheBytes: 1 };

/** A connection to a backend server whose events are published by the test. */
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
        location: createLocation("a"),
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

function vmEntry(id: string, changes: Partial<VmEntry> = {}): VmEntry {
    return {
        id,
        kind: "backend-server",
        address: `http://127.0.0.1/${id}`,
        ...createLocation("a"),
        className: "class",
        state: "live",
        incarnation: 1,
        ...changes,
    };
}

describe("BackendServerRegistry", () => {
    let entries: VmEntry[];
    let isListUnavailable: boolean;
    let fleet: FakeFleet;
    let connections: Map<string, FakeConnection>;
    let registry: BackendServerRegistry;

    const connection = (id: string) => {
        const known = connections.get(id) ?? new FakeConnection(id);
        connections.set(id, known);
        return known;
    };
    const candidateIds = () => registry.candidates().map(({ id }) => id).sort();
    /** Advances the clock while the given servers send heartbeats every 250 ms. */
    const advanceTime = async (milliseconds: number, ...alive: string[]) => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 250) {
            alive.forEach(id => connection(id).broadcast.publish({ type: "heartbeat" }));
            await jest.advanceTimersByTimeAsync(250);
        }
    };

    beforeEach(async () => {
        entries = [vmEntry("s0"), vmEntry("s1"), vmEntry("router-vm", { kind: "router" })];
        isListUnavailable = false;
        fleet = new FakeFleet();
        connections = new Map();
        const current = createConfiguration(
            [createModel(8)],
            fixedTopology({}, { latencyMilliseconds: 1, bytesPerSecond: 1e9 }),
        );
        registry = new BackendServerRegistry({
            vmList: {
                list: async () => {
                    if (isListUnavailable) {
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
        await advanceTime(1_000, "s0", "s1");
    });

    afterEach(() => registry.stop());

    test("subscribes to the listed backend servers and reads their holdings", () => {
        expect(candidateIds()).toEqual(["s0", "s1"]);
        expect(registry.get("s0")!.holdings).toEqual(holdings);
        expect(connection("s0").observers).toBe(1);
    });

    test.each([
        ["a draining event", () => connection("s0").broadcast.publish({ type: "draining" })],
        ["a refusal of work", () => registry.reportDraining("s0")],
        [
            "a notice from another router",
            () => fleet.deliver({ backendServer: "s0", incarnation: 1, signal: "leaving" }),
        ],
    ])(
        "excludes a leaving server after %s until its next incarnation, even if the list shows it as live",
        async (_name, signal) => {
            signal();
            expect(candidateIds()).toEqual(["s1"]);
            expect(registry.state("s0")).toBe("leaving");
            await advanceTime(20_000, "s0", "s1");
            expect(candidateIds()).toEqual(["s1"]);
            entries = [vmEntry("s0", { incarnation: 2 }), vmEntry("s1")];
            await advanceTime(3_000, "s0", "s1");
            expect(candidateIds()).toEqual(["s0", "s1"]);
        },
    );

    test("detects a leaving server in the list within 3 s and notifies the other routers once", async () => {
        entries = [vmEntry("s0", { state: "leaving" }), vmEntry("s1")];
        await advanceTime(3_000, "s0", "s1");
        expect(candidateIds()).toEqual(["s1"]);
        entries = [vmEntry("s0"), vmEntry("s1")];
        connection("s0").broadcast.publish({ type: "draining" });
        await advanceTime(5_000, "s0", "s1");
        expect(candidateIds()).toEqual(["s1"]);
        expect(fleet.published).toEqual([{ backendServer: "s0", incarnation: 1, signal: "leaving" }]);
    });

    test("does not use a leaving server again after it disappears from the list and reappears", async () => {
        registry.reportDraining("s0");
        entries = [vmEntry("s1")];
        await advanceTime(10_000, "s1");
        expect(registry.get("s0")).toBeUndefined();
        entries = [vmEntry("s0"), vmEntry("s1")];
        await advanceTime(3_000, "s0", "s1");
        expect(candidateIds()).toEqual(["s1"]);
    });

    test("ignores notices of older incarnations and keeps notices that precede the server's listing", async () => {
        fleet.deliver({ backendServer: "s0", incarnation: 0, signal: "leaving" });
        expect(candidateIds()).toEqual(["s0", "s1"]);
        fleet.deliver({ backendServer: "s2", incarnation: 4, signal: "leaving" });
        entries = [vmEntry("s0"), vmEntry("s1"), vmEntry("s2", { incarnation: 4 })];
        await advanceTime(4_000, "s0", "s1", "s2");
        expect(candidateIds()).toEqual(["s0", "s1"]);
    });

    test("excludes a server that sends no events and uses it again once it does", async () => {
        connection("s0").reachable = false;
        await advanceTime(3_000, "s1");
        expect(registry.state("s0")).toBe("unreachable");
        expect(candidateIds()).toEqual(["s1"]);
        expect(fleet.published).toEqual([{ backendServer: "s0", incarnation: 1, signal: "failed" }]);
        connection("s0").reachable = true;
        await advanceTime(1_500, "s0", "s1");
        expect(candidateIds()).toEqual(["s0", "s1"]);
    });

    test("ignores a failure notice for a server that sends events to this router", async () => {
        fleet.deliver({ backendServer: "s0", incarnation: 1, signal: "failed" });
        expect(candidateIds()).toEqual(["s0", "s1"]);
    });

    test("keeps the known servers while the list cannot be read", async () => {
        isListUnavailable = true;
        await advanceTime(60_000, "s0", "s1");
        expect(candidateIds()).toEqual(["s0", "s1"]);
    });

    test("counts its own attempts and tokens exactly, even if the end of an attempt is reported twice", () => {
        const record = registry.get("s0")!;
        const counter = new ExactInFlightCounter(id => registry.get(id));
        const plan = new PipelinePlan("plan", "model", 8, [{ backendServer: "s0", address: "", layers }]);
        const end = counter.begin(plan, 100);
        counter.begin(plan, 50);
        connection("s0").broadcast.publish({ type: "load", load });
        expect([record.ownAttempts, record.ownTokens, record.load!.ownAttempts]).toEqual([2, 150, 2]);
        end();
        end();
        expect([record.ownAttempts, record.ownTokens]).toEqual([1, 50]);
    });
});

test("each router polls a long list less often, unless all routers together would poll less than once a second", () => {
    expect(pollIntervalMilliseconds(40, 1)).toBe(1_000);
    expect(pollIntervalMilliseconds(320, 13)).toBe(13_000);
    expect(pollIntervalMilliseconds(600, 360)).toBe(72_000);
});
