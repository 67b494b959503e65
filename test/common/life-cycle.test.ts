import { describe, expect, jest, test } from "@jest/globals";
import { LifeCycle, type ManagedComponent } from "../../src/common/life-cycle.js";
import { SilentLogger } from "../../src/common/logger.js";
import { InternalError } from "../../src/errors/index.js";

function recordingPart(name: string, events: string[], faults: Partial<ManagedComponent> = {}): ManagedComponent {
    return {
        name,
        start: async () => void events.push(`start ${name}`),
        stop: async () => void events.push(`stop ${name}`),
        ...faults,
    };
}

describe("LifeCycle", () => {
    test("starts in order and stops in reverse, once", async () => {
        const events: string[] = [];
        const lifeCycle = new LifeCycle(new SilentLogger());
        lifeCycle.add(recordingPart("a", events));
        lifeCycle.add(recordingPart("b", events));
        await lifeCycle.start();
        await Promise.all([lifeCycle.stop(), lifeCycle.stop()]);
        expect(events).toEqual(["start a", "start b", "stop b", "stop a"]);
    });

    test("stops what had started when a later part fails to start", async () => {
        const events: string[] = [];
        const lifeCycle = new LifeCycle(new SilentLogger());
        lifeCycle.add(recordingPart("a", events));
        lifeCycle.add(recordingPart("b", events, { start: () => Promise.reject(new InternalError("no port")) }));
        await expect(lifeCycle.start()).rejects.toThrow("no port");
        expect(events).toEqual(["start a", "stop a"]);
    });

    test("goes on when one part hangs at its stop", async () => {
        const events: string[] = [];
        const lifeCycle = new LifeCycle(new SilentLogger(), 500);
        lifeCycle.add(recordingPart("a", events));
        lifeCycle.add(recordingPart("b", events, { stop: () => new Promise(() => undefined) }));
        await lifeCycle.start();
        const stopped = lifeCycle.stop();
        await jest.advanceTimersByTimeAsync(500);
        await stopped;
        expect(events).toEqual(["start a", "start b", "stop a"]);
    });
});
