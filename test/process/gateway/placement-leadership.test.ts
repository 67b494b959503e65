import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { delay } from "../../../src/common/clock.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { LeadershipOffer } from "../../../src/domain/gateway/leadership-offer.js";
import type { ConditionalWrite, ItemCondition, MetadataStore } from "../../../src/domain/gateway/metadata-store.js";
import type { StoreLease } from "../../../src/domain/gateway/store-position.js";
import { LeaseLostError, PlatformUnavailableError } from "../../../src/errors/index.js";
import { PlacementLeadership } from "../../../src/process/gateway/layer-placement/placement-leadership.js";
import type { StoreEra } from "../../../src/process/gateway/store-era.js";
import { failures } from "../../support/failures.js";
import { at, createStoreEra } from "../../support/store-positions.js";

/** A store with a single key that is bound to a lease, and with injected faults. */
class LeaseStore implements Partial<MetadataStore> {
    holder: string | undefined;
    down = false;
    loseCommitResponse = false;
    lostLeases = new Set<number>();
    readonly revokedLeases: number[] = [];
    readonly renewedLeases: number[] = [];
    readonly conditions: ItemCondition[] = [];
    commitMilliseconds = 0;
    grantMilliseconds = 0;
    grantCalls = 0;
    private nextLease = 1;

    async grantLease(): Promise<StoreLease> {
        this.check();
        this.grantCalls++;
        await delay(this.grantMilliseconds);
        return { id: this.nextLease++, era: era.current };
    }

    async commit(write: ConditionalWrite): Promise<boolean> {
        this.check();
        const [condition] = write.conditions;
        this.conditions.push(condition!);
        await delay(this.commitMilliseconds);
        const isOutdated = write.writes[0]!.lease!.era !== era.current;
        if (isOutdated || (condition!.position === undefined && this.holder !== undefined)) {
            return false;
        }
        this.holder = write.writes[0]!.value.toString();
        if (this.loseCommitResponse) {
            throw new PlatformUnavailableError("no answer", true);
        }
        return true;
    }

    async renewLease({ id }: StoreLease): Promise<void> {
        this.check();
        this.renewedLeases.push(id);
        if (this.lostLeases.has(id)) {
            throw new LeaseLostError(String(id));
        }
    }

    async revokeLease({ id }: StoreLease): Promise<void> {
        this.revokedLeases.push(id);
        this.holder = undefined;
    }

    private check(): void {
        if (this.down) {
            throw new PlatformUnavailableError("down", false);
        }
    }
}

let era: StoreEra;
let store: LeaseStore;
let leadership: PlacementLeadership;
let offers: LeadershipOffer[];
let acceptsOffers: boolean;

beforeEach(() => {
    offers = [];
    acceptsOffers = true;
    era = createStoreEra();
    store = new LeaseStore();
    leadership = new PlacementLeadership(
        store as unknown as MetadataStore,
        "leader",
        "me",
        1_000,
        era,
        {
            offer: async offer => {
                offers.push(offer);
                return acceptsOffers;
            },
        },
        new SeededRandom(1),
        failures,
        new SilentLogger(),
    );
});

describe("PlacementLeadership", () => {
    test("leads once its key is in the store, until the store reports that the lease was lost", async () => {
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        expect(leadership.isLeader).toBe(true);
        store.lostLeases.add(1);
        await jest.advanceTimersByTimeAsync(1_100);
        expect(leadership.isLeader).toBe(false);
    });

    test("continues to lead for a bounded time while the store is unavailable", async () => {
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        store.down = true;
        await jest.advanceTimersByTimeAsync(9_000);
        expect(leadership.isLeader).toBe(true);
        await jest.advanceTimersByTimeAsync(8_000);
        expect(leadership.isLeader).toBe(false);
    });

    test("steps down when another router's key is seen", async () => {
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        leadership.leaderKeyChanged({ holder: "other", position: at(1) });
        expect(leadership.isLeader).toBe(false);
    });

    test("does not lead after a suspension until the store has renewed the lease", async () => {
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        // During a suspension the wall clock advances while the monotonic clock stands still.
        jest.setSystemTime(Date.now() + 5_000);
        expect(leadership.isLeader).toBe(false);
        await jest.advanceTimersByTimeAsync(1_100);
        expect(leadership.isLeader).toBe(true);
    });

    test("leads after a claim whose response was lost, once the key is seen in the store", async () => {
        store.loseCommitResponse = true;
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        expect(leadership.isLeader).toBe(false);
        leadership.leaderKeyChanged({ holder: "me", position: at(1) });
        expect(leadership.isLeader).toBe(true);
    });

    test("revokes the lease when it stops", async () => {
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        await leadership.stop();
        expect(leadership.isLeader).toBe(false);
        expect(store.holder).toBeUndefined();
        expect(offers).toEqual([]);
    });

    test("hands the lease over when it stops while the store is unavailable", async () => {
        leadership.leaderKeyChanged(undefined);
        await jest.advanceTimersByTimeAsync(600);
        store.down = true;
        await jest.advanceTimersByTimeAsync(4_000);
        await leadership.stop();
        expect(leadership.isLeader).toBe(false);
        expect(offers).toMatchObject([{ lease: { id: 1, era: 0 }, holder: "me" }]);
        expect(offers[0]!.renewedMillisecondsAgo).toBeGreaterThan(3_000);
        expect(store.holder).toBe("me");
    });

    test("adopts a lease under the old leader's name, and leads no longer than the old leader could have", async () => {
        store.down = true;
        expect(leadership.adopt({ lease: { id: 7, era: 0 }, holder: "old", renewedMillisecondsAgo: 6_000 })).toBe(true);
        expect(leadership.isLeader).toBe(true);
        expect(leadership.adopt({ lease: { id: 8, era: 0 }, holder: "third", renewedMillisecondsAgo: 0 })).toBe(false);
        leadership.leaderKeyChanged({ holder: "old", position: at(1) });
        expect(leadership.isLeader).toBe(true);
        await jest.advanceTimersByTimeAsync(9_500);
        expect(leadership.isLeader).toBe(false);
    });

    test("stops leading when the store reports that an adopted lease was lost", async () => {
        store.lostLeases.add(7);
        leadership.adopt({ lease: { id: 7, era: 0 }, holder: "old", renewedMillisecondsAgo: 2_000 });
        await jest.advanceTimersByTimeAsync(1_100);
        expect(leadership.isLeader).toBe(false);
    });

    test("rejects offers after it has stopped", async () => {
        await leadership.stop();
        expect(leadership.adopt({ lease: { id: 7, era: 0 }, holder: "old", renewedMillisecondsAgo: 0 })).toBe(false);
    });

    // A claim that was under way as the router stopped left its key behind, and nobody led until its lease had expired.
    test("leaves no key behind if it is stopped while a claim is under way", async () => {
        store.grantMilliseconds = 200;
        leadership.leaderKeyChanged(undefined);
        while (store.grantCalls === 0) {
            await jest.advanceTimersByTimeAsync(10);
        }
        const stopped = leadership.stop();
        await jest.advanceTimersByTimeAsync(1_000);
        await stopped;
        expect(store.holder).toBeUndefined();
        expect(store.revokedLeases).toEqual([1]);
        expect(leadership.isLeader).toBe(false);
    });

    describe("as the store comes back from an older copy", () => {
        const ownKey = (revision: number, ofEra: number) => ({ holder: "me", position: at(revision, ofEra) });
        const beginEra = (next: number) => {
            era.observe(next);
            leadership.handleNewEra();
        };

        beforeEach(async () => {
            era.observe(1);
            leadership.leaderKeyChanged(undefined);
            await jest.advanceTimersByTimeAsync(600);
            expect(leadership.isLeader).toBe(true);
        });

        // Its ID may belong to another router by now.
        test("stops leading at once, and neither renews nor revokes its lease", async () => {
            beginEra(2);
            expect(leadership.isLeader).toBe(false);
            await jest.advanceTimersByTimeAsync(5_000);
            await leadership.stop();
            expect([store.renewedLeases, store.revokedLeases]).toEqual([[], []]);
        });

        test("replaces its own key of the copy on the condition of its position, and leads again", async () => {
            beginEra(2);
            leadership.leaderKeyChanged(ownKey(5, 2));
            await jest.advanceTimersByTimeAsync(20);
            expect(store.conditions.at(-1)).toEqual({ key: "leader", position: at(5, 2) });
            expect(leadership.isLeader).toBe(true);
        });

        test("does not take its own key of the copy for that of a claim which is under way", async () => {
            beginEra(2);
            store.commitMilliseconds = 100;
            leadership.leaderKeyChanged(ownKey(5, 2));
            await jest.advanceTimersByTimeAsync(50);
            leadership.leaderKeyChanged(ownKey(5, 2));
            expect(leadership.isLeader).toBe(false);
            leadership.leaderKeyChanged(ownKey(9, 2));
            expect(leadership.isLeader).toBe(true);
        });

        test("claims a key that the copy does not hold, as the others do", async () => {
            beginEra(2);
            store.holder = undefined;
            leadership.leaderKeyChanged(undefined);
            await jest.advanceTimersByTimeAsync(600);
            expect(store.conditions.at(-1)).toEqual({ key: "leader", position: undefined });
            expect(leadership.isLeader).toBe(true);
        });

        test("waits while another router's key is in the copy", async () => {
            beginEra(2);
            leadership.leaderKeyChanged({ holder: "other", position: at(5, 2) });
            await jest.advanceTimersByTimeAsync(5_000);
            expect(leadership.isLeader).toBe(false);
            expect(store.conditions).toHaveLength(1);
        });

        test("does not lead by a claim that began in the era before, and claims anew", async () => {
            beginEra(2);
            store.holder = undefined;
            store.commitMilliseconds = 100;
            leadership.leaderKeyChanged(undefined);
            while (store.conditions.length < 2) {
                await jest.advanceTimersByTimeAsync(10);
            }
            beginEra(3);
            leadership.leaderKeyChanged(undefined);
            await jest.advanceTimersByTimeAsync(60);
            expect(leadership.isLeader).toBe(false);
            store.holder = undefined;
            await jest.advanceTimersByTimeAsync(1_000);
            expect(store.conditions.length).toBeGreaterThan(2);
            expect(leadership.isLeader).toBe(true);
        });

        test("adopts no lease of another era", () => {
            beginEra(2);
            const offer = (ofEra: number) => ({
                lease: { id: 7, era: ofEra },
                holder: "old",
                renewedMillisecondsAgo: 0,
            });
            expect([leadership.adopt(offer(1)), leadership.adopt(offer(3)), leadership.adopt(offer(2))])
                .toEqual([false, false, true]);
        });
    });
});
