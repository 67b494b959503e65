import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { EventSplitter } from "../../../src/request/gateway/event-splitter.js";

describe("EventSplitter", () => {
    test("property: yields the same complete events however the stream is split into chunks", () => {
        const event = fc.record({ id: fc.nat(), data: fc.string({ unit: "grapheme-ascii", maxLength: 20 }) });
        const arbitrary = fc.tuple(fc.array(event, { maxLength: 8 }), fc.array(fc.nat({ max: 30 }), { maxLength: 30 }));
        fc.assert(
            fc.property(arbitrary, fc.constantFrom("\n", "\r\n"), ([events, cuts], lineEnd) => {
                const text = events.map(({ id, data }) => `id: ${id}${lineEnd}data: ${data}${lineEnd}${lineEnd}`).join(
                    "",
                );
                const bytes = Buffer.from(text);
                const splitter = new EventSplitter();
                const found = [];
                let start = 0;
                for (const cut of [...cuts, bytes.length]) {
                    found.push(...splitter.push(bytes.subarray(start, start + cut)));
                    start += cut;
                }
                expect(Buffer.concat(found.map(({ bytes: part }) => part)).toString()).toBe(text);
                expect(found.map(({ id }) => id)).toEqual(events.map(({ id }) => String(id)));
                expect(splitter.hasIncompleteEvent).toBe(false);
            }),
            { seed: 20261204 },
        );
    });

    test("keeps blocks without data or ID with the next event, and limits their size", () => {
        const splitter = new EventSplitter();
        expect(splitter.push(Buffer.from(": waiting\n\n\n\n"))).toEqual([]);
        expect(splitter.hasIncompleteEvent).toBe(false);
        const [event] = splitter.push(Buffer.from("id: 1\ndata: x\n\n: bye\n\n"));
        expect(event!.bytes.toString()).toBe(": waiting\n\n\n\nid: 1\ndata: x\n\n");
        expect(splitter.takeRest().toString()).toBe(": bye\n\n");
        for (let count = 0; count < 6_000; count++) {
            splitter.push(Buffer.from(": waiting\n\n"));
        }
        expect(splitter.exceedsMaximumSize).toBe(true);
    });

    test("buffers an event until its terminating empty line arrives", () => {
        const splitter = new EventSplitter();
        expect(splitter.push(Buffer.from("id: 1\ndata: x\n"))).toEqual([]);
        expect(splitter.hasIncompleteEvent).toBe(true);
        expect(splitter.push(Buffer.from("\n"))).toMatchObject([{ id: "1" }]);
    });
});
