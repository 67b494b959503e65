/**
 * The retries of a whole fleet in random orders of what happens to it: leaders that are lost, paused or doubled, notices and
 * answers that are lost, routers that start anew one by one or all at once, a list of routers that is late, empty or out of
 * date, a fleet that grows and shrinks. SEEDS=1-200 plays more of them.
 */
import { expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { ConditionalWrite, MetadataStore } from "../../../src/domain/gateway/metadata-store.js";
import type { SocketAddress } from "../../../src/domain/gateway/server-entry.js";
import { FleetRetryBudget } from "../../../src/process/gateway/fleet-retry-budget.js";
import { decodeProcessRecord, type ProcessRecord } from "../../../src/process/gateway/process-records.js";
import { RouterDirectory } from "../../../src/process/gateway/router-directory.js";
import { ReadContext } from "../../../src/process/gateway/store-observer.js";
import { WindowedRetryBudget } from "../../../src/process/gateway/windowed-retry-budget.js";
import { createStoreEra } from "../../support/store-positions.js";

const service = "pool";
const ratio = 0.2;
const extra = 425;
const windowMilliseconds = 10_000;
const stepMilliseconds = 250;
const stepsPerNotice = 2;
/** Of a starting router that asks others how long they have been running. */
const startTogetherMilliseconds = 5_000;
const stepsPerScenario = 240;
const [firstSeed, lastSeed] = (process.env["SEEDS"] ?? "1-25").split("-").map(Number);

/** A router's process, with the parts that decide on its retries. */
class RouterProcess {
    readonly directory: RouterDirectory;
    readonly budget: WindowedRetryBudget;
    readonly fleetBudget: FleetRetryBudget;
    storeAnswers = true;
    readonly startedAt = performance.now();
    /** As this process has last written it. */
    record: ProcessRecord | undefined;
    readonly era = createStoreEra();

    constructor(readonly name: string, random: SeededRandom, isFirstFleetStart: boolean) {
        // Also the lease that is granted.
        const call = async () => {
            if (!this.storeAnswers) {
                throw new TypeError("the store does not answer");
            }
            return { id: 1, era: this.era.current };
        };
        const commit = async ({ writes }: ConditionalWrite) => {
            await call();
            const record = writes.find(({ key }) => key.startsWith("processes/"));
            this.record = record === undefined ? this.record : decodeProcessRecord(record.value);
            return true;
        };
        const store = {
            grantLease: call,
            renewLease: call,
            commit,
            revokeLease: call,
        } as unknown as MetadataStore;
        this.directory = new RouterDirectory({
            store,
            era: this.era,
            keys: { routerPrefix: "", processPrefix: "processes/", fleetStarted: "started" },
            ownName: name,
            ownAddress: addressOf(name),
            settlingMilliseconds: windowMilliseconds,
            mayBeFirstFleetStart: isFirstFleetStart,
            configurationVersion: () => 1,
            random,
            logger: new SilentLogger(),
        });
        const options = { ratio, extra, windowMilliseconds, routerCount: () => this.directory.budgetSharers };
        this.budget = new WindowedRetryBudget({
            ...options,
            formerProcess: () => this.directory.formerProcess,
            random,
        });
        this.fleetBudget = new FleetRetryBudget({ ...options, ownReport: () => this.budget.report });
        void this.directory.start();
    }
}

const addressOf = (name: string): SocketAddress => ({ host: name, port: 1 });

interface StoreCopy {
    readonly registered: ReadonlyMap<string, number>;
    readonly records: ReadonlyMap<string, ProcessRecord>;
    readonly hasStarted: boolean;
}

class SimulatedFleet {
    private readonly processes = new Map<string, RouterProcess>();
    /** Names in the store, with the monotonic time until which their leases last without a renewal. */
    private readonly registered = new Map<string, number>();
    /** Steps for which a router does nothing, or does not reach the store. */
    private readonly paused = new Map<string, number>();
    private readonly cutOff = new Map<string, number>();
    private leaders: string[] = [];
    private storeSilentSteps = 0;
    private hasStarted = false;
    /** Records in the store of the routers' processes. */
    private readonly records = new Map<string, ProcessRecord>();
    private era = 1;
    private readonly copies: StoreCopy[] = [];
    private nextName = 0;
    private readonly requests: number[] = [];
    private readonly retries: number[] = [];
    private demand = 0;

    constructor(private readonly random: SeededRandom, routers: number) {
        Array.from({ length: routers }).forEach(() => this.addRouter(true));
    }

    async step(number: number): Promise<void> {
        this.trouble();
        this.updateRegistrations();
        this.sendTraffic();
        if (number % stepsPerNotice === 0) {
            this.leaders.forEach(leader => this.sendNotices(leader));
        }
        await jest.advanceTimersByTimeAsync(stepMilliseconds);
        this.countDown();
    }

    /** Retries in the window that ends now, and the number that the operators allow in it. */
    get usage(): { readonly retries: number; readonly allowed: number; } {
        const now = performance.now();
        const within = (times: readonly number[], end: number) =>
            times.filter(time => time > end - windowMilliseconds && time <= end).length;
        const requests = Math.max(...[0, 0.5, 1].map(age => within(this.requests, now - age * windowMilliseconds)));
        return { retries: within(this.retries, now), allowed: ratio * requests + extra };
    }

    async stop(): Promise<void> {
        await Promise.all([...this.processes.values()].map(({ directory }) => directory.stop()));
    }

    private chance(probability: number): boolean {
        return this.random.next() < probability;
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[Math.floor(this.random.next() * values.length)]!;
    }

    private get names(): string[] {
        return [...this.processes.keys()];
    }

    private addRouter(isFirstFleetStart = false): void {
        this.start(`router-${this.nextName++}`, isFirstFleetStart);
    }

    private start(name: string, isFirstFleetStart = false): void {
        void this.processes.get(name)?.directory.stop();
        this.processes.set(name, new RouterProcess(name, this.random, isFirstFleetStart));
        this.leaders = this.leaders.filter(leader => leader !== name);
    }

    private trouble(): void {
        if (this.leaders.length === 0 && this.chance(0.3)) {
            this.leaders = [this.pick(this.names)];
        }
        if (this.chance(0.02)) {
            this.leaders = this.chance(0.5) ? [] : [...new Set([...this.leaders, this.pick(this.names)])].slice(-2);
        }
        if (this.chance(0.02)) {
            this.paused.set(this.chance(0.5) ? this.leaders[0] ?? this.pick(this.names) : this.pick(this.names), 24);
        }
        if (this.chance(0.02)) {
            this.start(this.pick(this.names));
        }
        if (this.chance(0.01)) {
            this.names.forEach(name => this.start(name));
            this.storeSilentSteps = this.chance(0.5) ? 16 : 0;
        }
        if (this.chance(0.01)) {
            this.registered.clear();
            this.records.clear();
        }
        if (this.storeSilentSteps === 0 && this.chance(0.05)) {
            this.copies.push({
                registered: new Map(this.registered),
                records: new Map(this.records),
                hasStarted: this.hasStarted,
            });
        }
        if (this.copies.length > 0 && this.chance(0.01)) {
            this.returnFromCopy();
        }
        if (this.chance(0.01)) {
            this.cutOff.set(this.pick(this.names), this.chance(0.3) ? 400 : 40);
        }
        if (this.chance(0.02)) {
            this.addRouter();
        }
        if (this.chance(0.02) && this.processes.size > 3) {
            const name = this.pick(this.names);
            void this.processes.get(name)!.directory.stop();
            this.processes.delete(name);
            this.leaders = this.leaders.filter(leader => leader !== name);
        }
        if (this.chance(0.05)) {
            this.demand = this.pick([0, 1, 5, 40]);
        }
    }

    /** The store is away for a moment, and comes back from a copy some seconds old. */
    private returnFromCopy(): void {
        const { registered, records, hasStarted } = this.copies.slice(-4)[0]!;
        this.copies.length = 0;
        this.registered.clear();
        this.records.clear();
        const now = performance.now();
        [...registered.keys()].forEach(name => this.registered.set(name, now + 12_000));
        records.forEach((record, name) => this.records.set(name, record));
        this.hasStarted = hasStarted;
        this.era++;
        this.storeSilentSteps = 3;
    }

    private reachesStore(name: string): boolean {
        return this.storeSilentSteps === 0 && !this.cutOff.has(name) && !this.paused.has(name);
    }

    private updateRegistrations(): void {
        const now = performance.now();
        const list = () => new Map([...this.registered.keys()].map(name => [name, addressOf(name)] as const));
        [...this.registered].filter(([, endsAt]) => endsAt < now).forEach(([name]) => this.registered.delete(name));
        for (const [name, process] of this.processes) {
            process.storeAnswers = this.reachesStore(name);
            if (process.storeAnswers) {
                const isNewEra = process.era.stated !== undefined && process.era.stated !== this.era;
                process.era.observe(this.era);
                if (isNewEra) {
                    process.directory.handleNewEra();
                }
                process.directory.replaceAll(
                    list(),
                    { fleetHasStarted: this.hasStarted, byRouter: this.records },
                    isNewEra ? ReadContext.newEra : ReadContext.continuous,
                );
                if ([...this.processes.values()].some(other => now - other.startedAt > startTogetherMilliseconds)) {
                    // The others answer the question of a router that starts.
                    process.directory.handleRunningFleet();
                }
                this.registered.set(name, now + 12_000);
            }
        }
        for (const [name, { storeAnswers, record }] of this.processes) {
            if (storeAnswers && record?.era === this.era) {
                this.records.set(name, record);
                this.hasStarted = true;
            }
        }
    }

    private sendTraffic(): void {
        const now = performance.now();
        for (const [name, { budget }] of this.processes) {
            const requests = this.paused.has(name) ? 0 : Math.floor(this.random.next() * 4);
            for (let count = 0; count < requests; count++) {
                budget.recordRequest(service);
                this.requests.push(now);
            }
            for (
                let count = this.paused.has(name) ? 0 : this.demand;
                count > 0 && budget.tryConsume(service);
                count--
            ) {
                this.retries.push(now);
            }
        }
    }

    private sendNotices(name: string): void {
        const leader = this.processes.get(name)!;
        if (this.paused.has(name)) {
            return;
        }
        const grants = leader.fleetBudget.computeGrants();
        leader.budget.applyGrants(grants);
        for (const [router, { budget }] of this.processes) {
            if (router === name) {
                continue;
            }
            const granted = leader.fleetBudget.grantsFor(router, grants);
            if (this.paused.has(router) || this.chance(0.05)) {
                continue;
            }
            budget.applyGrants(granted);
            if (!this.chance(0.05)) {
                leader.fleetBudget.recordReport(router, budget.report);
            }
        }
    }

    private countDown(): void {
        this.storeSilentSteps = Math.max(0, this.storeSilentSteps - 1);
        for (const steps of [this.paused, this.cutOff]) {
            steps.forEach((left, name) => left > 1 ? steps.set(name, left - 1) : steps.delete(name));
        }
    }
}

// Routers that fell back to fixed shares after grants, or started anew, repeated requests up to 1.7 times the budget.
test("in no window do the retries of a fleet exceed its budget, whatever happens to leaders and routers", async () => {
    let retries = 0;
    for (let seed = firstSeed!; seed <= (lastSeed ?? firstSeed!); seed++) {
        jest.advanceTimersByTime(3 * windowMilliseconds);
        const fleet = new SimulatedFleet(new SeededRandom(seed), 4 + seed % 12);
        let largest = 0;
        for (let step = 0; step < stepsPerScenario; step++) {
            await fleet.step(step);
            const usage = fleet.usage;
            largest = Math.max(largest, usage.retries / usage.allowed);
        }
        await fleet.stop();
        expect({ seed, withinBudget: largest <= 1, largest }).toMatchObject({ withinBudget: true });
        retries = Math.max(retries, largest);
    }
    // The budget is there to be used.
    expect(retries).toBeGreaterThan(0.6);
});
