import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { StallWatch } from "../../../src/request/gateway/stall-watch.js";

const limits = {
    quietMilliseconds: 90,
    stalledMilliseconds: 1_000,
    firstQuietMilliseconds: 150,
    firstStalledMilliseconds: 800,
};
let seen: string[];
let watch: StallWatch;

beforeEach(() => {
    seen = [];
    watch = new StallWatch(limits, { quiet: () => seen.push("quiet"), stalled: () => seen.push("stalled") });
});

afterEach(() => watch.stop());

test("a late first event is reported once as quiet and once as stalled", () => {
    jest.advanceTimersByTime(149);
    expect(seen).toEqual([]);
    jest.advanceTimersByTime(1);
    expect(seen).toEqual(["quiet"]);
    jest.advanceTimersByTime(650);
    expect(seen).toEqual(["quiet", "stalled"]);
});

test("steady events report nothing, a pause after them does", () => {
    for (let count = 0; count < 50; count++) {
        jest.advanceTimersByTime(40);
        watch.progressed();
    }
    expect(seen).toEqual([]);
    jest.advanceTimersByTime(130);
    expect(seen).toEqual(["quiet"]);
});

test("a stream that is slow throughout is measured by its own gaps", () => {
    for (let count = 0; count < 50; count++) {
        jest.advanceTimersByTime(80);
        watch.progressed();
    }
    jest.advanceTimersByTime(150);
    expect(seen).toEqual([]);
    jest.advanceTimersByTime(20);
    expect(seen).toEqual(["quiet"]);
});

test("a caller that does not read is no stall, nor is a stopped watch", () => {
    watch.progressed();
    watch.suspend();
    jest.advanceTimersByTime(5_000);
    watch.progressed();
    watch.stop();
    jest.advanceTimersByTime(5_000);
    expect(seen).toEqual([]);
});
