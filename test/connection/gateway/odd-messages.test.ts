import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { decodeOffer } from "../../../src/connection/gateway/peer-leadership.js";
import { decodeNotice, decodeReport } from "../../../src/connection/gateway/peer-notices.js";
import { decodeSnapshot } from "../../../src/connection/gateway/peer-snapshots.js";
import type { RunningLoad } from "../../../src/domain/gateway/placement-notice.js";
import { InvalidPeerMessageError } from "../../../src/errors/index.js";
import { oddJson, withOddValues } from "../../platform/odd-json.js";

const soundNotice = {
    sender: "leader",
    servers: [{ id: "a", bornAt: 1, layers: { first: 0, last: 3 }, lost: false }],
    otherLoads: { a: [2, 1_800] },
    retryGrants: { pool: 1.5 },
    customerLimits: { pool: { haddow: 0.4 } },
};
const soundReport = {
    loads: { a: [2, 1_800] },
    retryUsages: { pool: { requests: 9, retries: 3, granted: 2 } },
    recordedMilliseconds: 20_000,
    customerDemands: { pool: { haddow: [900, 0] } },
};
const thousandsOfCustomers = (value: unknown) => ({
    pool: Object.fromEntries(Array.from({ length: 3_000 }, (_unused, index) => [`customer-${index}`, value])),
});
const soundOffer = { leaseId: 7, holder: "edge-1/x", renewedMillisecondsAgo: 1_500.5 };
const soundSnapshot = { storeRevision: 9, items: [{ key: "op/config", value: "e30=", revision: 4 }] };

const changed = (sound: Record<string, unknown>, changes: Record<string, unknown>) =>
    JSON.stringify({ ...sound, ...changes }).replaceAll('"HUGE"', "1e999");
const server = (changes: Record<string, unknown>) => ({ servers: [{ ...soundNotice.servers[0], ...changes }] });

test("sound messages of other routers are decoded", () => {
    expect(decodeNotice(JSON.stringify(soundNotice)).servers).toEqual(soundNotice.servers);
    expect(decodeReport(JSON.stringify(soundReport)).loads.get("a")).toEqual({ requests: 2, tokens: 1_800 });
    const { leaseId: id, ...offer } = soundOffer;
    expect(decodeOffer(JSON.stringify(soundOffer))).toEqual({ ...offer, lease: { id, era: 0 } });
    expect(decodeSnapshot(JSON.stringify(soundSnapshot)).items[0]!.value.toString()).toBe("{}");
});

describe("a message of another router is invalid", () => {
    test.each([
        server({ bornAt: -1 }),
        server({ bornAt: "HUGE" }),
        server({ layers: { first: -1e308, last: 3 } }),
        server({ layers: { first: 0.5, last: 3 } }),
        server({ layers: { first: 4, last: 3 } }),
        server({ layers: { first: 0, last: 1e9 } }),
        { otherLoads: { a: [-1, 0] } },
        { otherLoads: { a: [1, -5] } },
        { otherLoads: { a: ["HUGE", 0] } },
        { otherLoads: { a: [1, 1e300] } },
        { retryGrants: { pool: -1 } },
        { retryGrants: { pool: 1e300 } },
        { retryGrants: { pool: "HUGE" } },
        { customerLimits: { pool: { haddow: -0.1 } } },
        { customerLimits: { pool: { haddow: 1.1 } } },
        { customerLimits: { pool: { haddow: "HUGE" } } },
        { customerLimits: { pool: 0.4 } },
    ])("as a notice with %j", changes => {
        expect(() => decodeNotice(changed(soundNotice, changes))).toThrow(InvalidPeerMessageError);
    });

    test.each([
        { loads: { a: [-1, 0] } },
        { loads: { a: [0.5, 0] } },
        { retryUsages: { pool: { requests: -1, retries: 0 } } },
        { retryUsages: { pool: { requests: 1e300, retries: 0 } } },
        { retryUsages: { pool: { requests: 1, retries: 1.5 } } },
        { retryUsages: { pool: { requests: 1, retries: 1, granted: -1 } } },
        { recordedMilliseconds: -1 },
        { customerDemands: { pool: { haddow: [-1, 0] } } },
        { customerDemands: { pool: { haddow: [1] } } },
        { customerDemands: { pool: { haddow: ["HUGE", 0] } } },
        { customerDemands: { pool: { haddow: [0, 1e300] } } },
        { customerDemands: [] },
    ])("as a report with %j", changes => {
        expect(() => decodeReport(changed(soundReport, changes))).toThrow(InvalidPeerMessageError);
    });

    test.each([
        { leaseId: -1 },
        { leaseId: 1.5 },
        { leaseId: 1e300 },
        { renewedMillisecondsAgo: -60_000 },
        { renewedMillisecondsAgo: 1e300 },
        { renewedMillisecondsAgo: "HUGE" },
    ])("as an offer with %j", changes => {
        expect(() => decodeOffer(changed(soundOffer, changes))).toThrow(InvalidPeerMessageError);
    });

    test.each([
        { storeRevision: 1e300 },
        { storeRevision: -1 },
        { items: [{ key: "k", value: "", revision: 0.5 }] },
    ])("as a snapshot with %j", changes => {
        expect(() => decodeSnapshot(changed(soundSnapshot, changes))).toThrow(InvalidPeerMessageError);
    });

    test("with thousands of customers", () => {
        const notice = changed(soundNotice, { customerLimits: thousandsOfCustomers(0.5) });
        expect(() => decodeNotice(notice)).toThrow(InvalidPeerMessageError);
        const report = changed(soundReport, { customerDemands: thousandsOfCustomers([1, 1]) });
        expect(() => decodeReport(report)).toThrow(InvalidPeerMessageError);
    });

    test("as a notice without bytes that can be read", () => {
        expect(() => decodeNotice("\ufffd")).toThrow(InvalidPeerMessageError);
    });
});

const isWhole = (value: number | undefined) => value === undefined || (Number.isSafeInteger(value) && value >= 0);
const isUsable = ({ requests, tokens }: RunningLoad) =>
    isWhole(requests) && Number.isFinite(tokens) && tokens >= 0 && tokens <= 1e12;

/** Decodes texts at random; checks that each is invalid or passes the check. */
function expectDecoded<Message>(
    sound: unknown,
    decode: (text: string) => Message,
    check: (message: Message) => boolean,
): void {
    fc.assert(
        fc.property(
            fc.oneof({ weight: 4, arbitrary: withOddValues(sound) }, { weight: 1, arbitrary: oddJson }),
            text => {
                let message: Message;
                try {
                    message = decode(text);
                }
                catch (error) {
                    expect(error).toBeInstanceOf(InvalidPeerMessageError);
                    return;
                }
                expect(check(message)).toBe(true);
            },
        ),
        { seed: 7, numRuns: 1_000 },
    );
}

test("loads whose sum of fractions fell below 0 by a rounding error are still accepted", () => {
    const notice = decodeNotice(changed(soundNotice, { otherLoads: { a: [0, -2.3e-13] } }));
    expect(notice.otherLoads.get("a")).toEqual({ requests: 0, tokens: 0 });
});

test("whatever another router sends, a message is in range or invalid, and nothing else is thrown", () => {
    expectDecoded(
        soundNotice,
        decodeNotice,
        ({ servers, otherLoads, retryGrants, customerLimits }) =>
            servers.every(({ bornAt, layers }) =>
                isWhole(bornAt) && (layers === undefined
                    || (isWhole(layers.first) && layers.first <= layers.last && layers.last < 10_000))
            )
            && [...otherLoads.values()].every(isUsable)
            && [...retryGrants.values()].every(grant => grant >= 0 && grant <= 1e12)
            && [...customerLimits?.values() ?? []].every(limits =>
                [...limits.values()].every(part => part >= 0 && part <= 1)
            ),
    );
    expectDecoded(
        soundReport,
        decodeReport,
        ({ loads, retryUsage, customerDemands }) =>
            [...loads.values()].every(isUsable)
            && [...retryUsage.usages.values()].every(({ requests, retries }) => isWhole(requests) && isWhole(retries))
            && [...customerDemands?.values() ?? []].every(demands =>
                [...demands.values()].every(({ asked, taken }) =>
                    asked >= 0 && asked <= 1e12 && taken >= 0 && taken <= 1e12
                )
            ),
    );
    expectDecoded(
        soundOffer,
        decodeOffer,
        ({ lease, renewedMillisecondsAgo: age }) => isWhole(lease.id) && isWhole(lease.era) && age >= 0 && age <= 1e12,
    );
    expectDecoded(
        soundSnapshot,
        decodeSnapshot,
        ({ position, items }) =>
            [position, ...items.map(item => item.position)].every(({ era, revision }) =>
                isWhole(era) && isWhole(revision)
            ),
    );
});
