import { describe, expect, jest, test } from "@jest/globals";
import { LifeCycle, type ManagedComponent } from "../../src/common/life-cycle.js";
import { SilentLogger } from "../../src/common/logger.js";
import { InternalError } from "../../src/errors/index.js";

function recordingComponent(
    name: string,
    events: string[],
    overrides: Partial<ManagedComponent> = {},
): ManagedComponent {
    return {
        name,
        start: async () => void events.push(`start ${name}`),
        stop: async () => void events.push(`stop ${name}`),
        ...overrides,
    };
}

describe("LifeCycle", () => {
    test("starts components in order and stops each once in reverse order", async () => {
        const events: string[] = [];
        const lifeCycle = new LifeCycle(new SilentLogger());
        lifeCycle.add(recordingComponent("a", events));
        lifeCycle.add(recordingComponent("b", events));
        await lifeCycle.start();
        await Promise.all([lifeCycle.stop(), lifeCycle.stop()]);
        expect(events).toEqual(["start a", "start b", "stop b", "stop a"]);
    });

    test("stops the started components when a later component fails to start", async () => {
        const events: string[] = [];
        const lifeCycle = new LifeCycle(new SilentLogger());
        lifeCycle.add(recordingComponent("a", events));
        lifeCycle.add(recordingComponent("b", events, { start: () => Promise.reject(new InternalError("no port")) }));
        await expect(lifeCycle.start()).rejects.toThrow("no port");
        expect(events).toEqual(["start a", "stop a"]);
    });

    test("stops the remaining components when one component's stop hangs", async () => {
        const events: string[] = [];
        const lifeCycle = new LifeCycle(new SilentLogger(), 500);
        lifeCycle.add(recordingComponent("a", events));
        lifeCycle.add(recordingComponent("b", events, { stop: () => new Promise(() => undefined) }));
        await lifeCycle.start();
        const stopped = lifeCycle.stop();
        await jest.advanceTimersByTimeAsync(500);
        await stopped;
        expect(events).toEqual(["start a", "start b", "stop a"]);
    });
});
