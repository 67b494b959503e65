import { beforeEach, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { ServerSuspicions } from "../../../src/process/gateway/server-suspicions.js";

let suspicions: ServerSuspicions;

beforeEach(() => {
    suspicions = new ServerSuspicions(new SilentLogger());
});

test("each failure in a row doubles the pause, and a success ends it", () => {
    suspicions.noteFailure("a", "broken");
    jest.advanceTimersByTime(1_001);
    expect(suspicions.isSuspected("a")).toBe(false);
    suspicions.noteFailure("a", "broken");
    jest.advanceTimersByTime(1_500);
    expect(suspicions.isSuspected("a")).toBe(true);
    suspicions.noteSuccess("a");
    expect(suspicions.isSuspected("a")).toBe(false);
});

test("refusals for want of room pause a server shortly, however many come", () => {
    for (let count = 0; count < 10; count++) {
        suspicions.noteRefusal("a", "status 503");
        expect(suspicions.isSuspected("a")).toBe(true);
        jest.advanceTimersByTime(301);
        expect(suspicions.isSuspected("a")).toBe(false);
    }
});

test("a refusal does not shorten the pause after a failure", () => {
    suspicions.noteFailure("a", "broken");
    suspicions.noteRefusal("a", "status 503");
    jest.advanceTimersByTime(900);
    expect(suspicions.isSuspected("a")).toBe(true);
});
